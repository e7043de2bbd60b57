/** Validates what the schema cannot express: references by name, duplicates and keys that have no effect. */
import * as settings from '../common/settings/Settings.js';
import type * as lineIndex from '../common/settings/LineIndex.js';
import type * as commonTypes from '../common/Types.js';

/**
 * A TOML table before validation, with values of any type. References are checked even when the schema check
 * fails, so that one run reports the faults of both.
 */
type RawTable = Readonly<Record<string, unknown>>;

/** A table with its path in the declaration, such as `pools[0].endpoints[1]`. */
interface ILocatedTable {
  readonly path: string;
  readonly table: RawTable;
}

/** The tables in the array under a key of a table; entries of other types are left to the schema check. */
function childTables(parent: ILocatedTable, key: string): readonly ILocatedTable[] {
  const value = parent.table[key];
  if (!Array.isArray(value)) {
    return [];
  }
  const prefix = parent.path === '' ? key : `${parent.path}.${key}`;
  return value.flatMap((table: unknown, index) =>
    typeof table === 'object' && table !== null
      ? [{ path: `${prefix}[${index}]`, table: table as RawTable }]
      : [],
  );
}

/** The part of a finding that lists the names that would be valid. */
function describeValidNames(names: Iterable<string>): string {
  const list = [...names].map((name) => JSON.stringify(name));
  return list.length === 0 ? 'the name of a declared entry' : `one of ${list.join(', ')}`;
}

/** Checks the references of one declaration and collects the findings. */
export class ReferenceChecker {
  private readonly findings: commonTypes.IFinding[] = [];

  private readonly root: ILocatedTable;

  private readonly namesByList = new Map<string, ReadonlySet<string>>();

  /** `raw` is the parsed TOML, which need not match the schema; `index` maps paths to lines of `file`. */
  constructor(
    private readonly file: string,
    private readonly index: lineIndex.LineIndex,
    raw: unknown,
  ) {
    const isTable = typeof raw === 'object' && raw !== null;
    this.root = { path: '', table: isTable ? (raw as RawTable) : {} };
  }

  /**
   * Runs all checks.
   *
   * @returns every finding, grouped by check: names, key ids, endpoints, pipelines, services. A second call would
   * report each finding again.
   */
  check(): readonly commonTypes.IFinding[] {
    const tablesUnder = (key: string): readonly ILocatedTable[] => childTables(this.root, key);
    ['zones', 'workspaces', 'kinds', 'pools', 'pipelines', 'services'].forEach((key) =>
      this.checkUnique(tablesUnder(key), 'name'),
    );
    this.checkUnique(
      tablesUnder('workspaces').flatMap((item) => childTables(item, 'keys')),
      'id',
    );
    this.checkEndpoints();
    tablesUnder('pipelines').forEach((item) => this.checkPipeline(item));
    tablesUnder('services').forEach((item) => this.checkService(item));
    return this.findings;
  }

  private addFinding(path: string, message: string, expected: string): void {
    this.findings.push(settings.findingAt(this.file, this.index, path, message, expected));
  }

  private declaredNames(listKey: string): ReadonlySet<string> {
    const names = childTables(this.root, listKey).map((item) => item.table.name);
    return new Set(names.filter((name) => typeof name === 'string'));
  }

  private checkUnique(items: readonly ILocatedTable[], key: string): void {
    const pathByValue = new Map<unknown, string>();
    items.forEach(({ path, table }) => {
      const value = table[key];
      if (typeof value !== 'string') {
        return;
      }
      const firstPath = pathByValue.get(value);
      if (firstPath === undefined) {
        pathByValue.set(value, path);
        return;
      }
      const message = `${JSON.stringify(value)} is already used by ${firstPath}`;
      this.addFinding(`${path}.${key}`, message, `another ${key}`);
    });
  }

  private checkReference(item: ILocatedTable, key: string, listKey: string): void {
    const value = item.table[key];
    const names = this.declaredNames(listKey);
    if (typeof value === 'string' && !names.has(value)) {
      const message = `${JSON.stringify(value)} is not declared under ${listKey}`;
      this.addFinding(`${item.path}.${key}`, message, describeValidNames(names));
    }
  }

  private checkEndpoints(): void {
    const pools = childTables(this.root, 'pools');
    const endpoints = pools.flatMap((pool) => childTables(pool, 'endpoints'));
    this.checkUnique(endpoints, 'name');
    this.checkUnique(endpoints, 'address');
    endpoints.forEach((endpoint) => this.checkReference(endpoint, 'zone', 'zones'));
    pools
      .filter((pool) => pool.table.kind !== 'generation')
      .forEach((pool) => this.checkNonGenerationPool(pool));
  }

  private checkNonGenerationPool(pool: ILocatedTable): void {
    if (pool.table.resumable === true) {
      const message = 'only a pool of kind "generation" can resume streams';
      this.addFinding(`${pool.path}.resumable`, message, 'false, or leave it out');
    }
    childTables(pool, 'endpoints')
      .filter(({ table }) => table.role === 'prefill' || table.role === 'decode')
      .forEach(({ path }) => {
        const message = 'prefill and decode can only be split in a pool of kind "generation"';
        this.addFinding(`${path}.role`, message, '"both", or leave it out');
      });
  }

  /** Checks that the pool that an item refers to is declared and has the kind that the item requires. */
  private checkPool(item: ILocatedTable, requiredKind: unknown): void {
    this.checkReference(item, 'pool', 'pools');
    const pools = childTables(this.root, 'pools');
    const pool = pools.find(({ table }) => table.name === item.table.pool);
    if (pool === undefined || pool.table.kind === requiredKind) {
      return;
    }
    const matchingPools = pools.filter(({ table }) => table.kind === requiredKind);
    const message = `pool ${JSON.stringify(item.table.pool)} is of kind ${JSON.stringify(pool.table.kind)}, not ${JSON.stringify(requiredKind)}`;
    this.addFinding(
      `${item.path}.pool`,
      message,
      describeValidNames(matchingPools.map(({ table }) => String(table.name))),
    );
  }

  private checkPipeline(pipeline: ILocatedTable): void {
    this.checkReference(pipeline, 'kind', 'kinds');
    const stages = childTables(pipeline, 'stages');
    this.checkUnique(stages, 'name');
    stages.forEach((stage) => this.checkStage(stage));
    this.checkNaturalKey(
      pipeline,
      stages.some(({ table }) => table.repeatable === false),
    );
  }

  private checkStage(stage: ILocatedTable): void {
    this.checkPool(stage, stage.table.kind);
    if (stage.table.max_tokens !== undefined && stage.table.kind !== 'generation') {
      const message = 'only a stage of kind "generation" produces tokens';
      this.addFinding(
        `${stage.path}.max_tokens`,
        message,
        'max_tokens in a generation stage, or leave it out',
      );
    }
  }

  private checkService(service: ILocatedTable): void {
    this.checkPool(service, 'service');
    const pathByRoute = new Map<string, string>();
    childTables(service, 'routes').forEach((route) => {
      this.checkReference(route, 'kind', 'kinds');
      this.checkNaturalKey(route, route.table.repeatable === false);
      // Routes that differ only in the names of their path parameters match the same calls.
      const pathPattern = String(route.table.path).replace(/\{\w+\}/g, '{}');
      const routeId = `${String(route.table.method)} ${pathPattern}`;
      const firstPath = pathByRoute.get(routeId);
      if (firstPath !== undefined) {
        this.addFinding(
          `${route.path}.path`,
          `${routeId} is already used by ${firstPath}`,
          'another path',
        );
      }
      pathByRoute.set(routeId, firstPath ?? route.path);
    });
  }

  private checkNaturalKey(item: ILocatedTable, hasAtMostOnceWork: boolean): void {
    const naturalKey = item.table.natural_key;
    if (Array.isArray(naturalKey) && naturalKey.length > 0 && !hasAtMostOnceWork) {
      const message = 'has no effect on work that is repeatable';
      this.addFinding(
        `${item.path}.natural_key`,
        message,
        'repeatable = false as well, or leave it out',
      );
    }
  }
}
