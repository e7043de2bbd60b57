import type * as services from '../../common/services/Services.js';
import * as requestError from '../../common/RequestError.js';
import type * as commonTypes from '../../common/Types.js';
import type * as configTypes from '../../config/Types.js';
import type * as decisionOptions from '../DecisionOptions.js';
import type * as entryTypes from '../Types.js';
import * as poolAdmission from './PoolAdmission.js';

const DEFAULT_SHARE = 1;
/** Work assumed of a stage before any was seen, milliseconds. */
const UNKNOWN_WORK_MS = 50;

/** Admission to all pools of this entry VM. */
export class Admission implements entryTypes.IAdmission, commonTypes.IDisposable {
  private readonly pools = new Map<string, poolAdmission.PoolAdmission>();

  private shares = new Map<string, number>();

  /** Limits calls by `options`. */
  constructor(
    private readonly options: decisionOptions.ILimitOptions,
    private readonly clock: commonTypes.IClock,
    private readonly metrics: services.IMetricsService,
  ) {}

  /** Takes the shares and pools of a new configuration; pools that are gone are dropped once idle. */
  updateConfiguration(cfg: configTypes.IConfiguration): void {
    const { workspaces, pools } = cfg.declaration;
    this.shares = new Map(workspaces.map((workspace) => [workspace.name, workspace.share]));
    pools.forEach((pool) => this.pools.get(pool.name)?.resize(pool.endpoints.length));
    const declared = new Set(pools.map((pool) => pool.name));
    this.pools.forEach((pool, name) => {
      if (!declared.has(name) && pool.running === 0 && pool.waiting === 0) {
        pool.dispose();
        this.pools.delete(name);
      }
    });
  }

  /** @inheritdoc */
  async admit(
    pool: configTypes.IPool,
    ctx: entryTypes.IRequestContext,
    work: entryTypes.IStageWork = this.unknownWork(pool, ctx),
  ): Promise<entryTypes.IPermit> {
    try {
      return await this.pool(pool).admit(ctx, work);
    } catch (err) {
      if (err instanceof requestError.RequestError) {
        this.metrics.count('admission_refused', { pool: pool.name, reason: err.code });
      }
      throw err;
    }
  }

  /** The admission of one pool. */
  pool(pool: configTypes.IPool): poolAdmission.PoolAdmission {
    const known = this.pools.get(pool.name);
    if (known) {
      return known;
    }
    const created = new poolAdmission.PoolAdmission(
      pool.name,
      this.options,
      this.clock,
      (workspace) => this.shares.get(workspace) ?? DEFAULT_SHARE,
      pool.endpoints.length,
    );
    this.pools.set(pool.name, created);
    return created;
  }

  /** The admission of a pool by its name, when it was used before. */
  findPool(name: string): poolAdmission.PoolAdmission | undefined {
    return this.pools.get(name);
  }

  /** Sets the gauges of all pools. */
  reportGauges(): void {
    this.pools.forEach((pool, name) => {
      this.metrics.gauge('pool_running', pool.running, { pool: name });
      this.metrics.gauge('pool_waiting', pool.waiting, { pool: name });
      this.metrics.gauge('pool_places', pool.slots, { pool: name });
    });
  }

  /** Names of the pools in use. */
  poolNames(): readonly string[] {
    return [...this.pools.keys()];
  }

  /** @inheritdoc */
  dispose(): void {
    this.pools.forEach((pool) => pool.dispose());
    this.pools.clear();
  }

  private unknownWork(
    pool: configTypes.IPool,
    ctx: entryTypes.IRequestContext,
  ): entryTypes.IStageWork {
    return { key: pool.name, expected: UNKNOWN_WORK_MS, latestStart: ctx.deadline };
  }
}
