import * as emitter from '../common/Emitter.js';
import type * as commonServices from '../common/services/Services.js';
import type * as commonTypes from '../common/Types.js';
import type * as endpointDirectory from '../routing/EndpointDirectory.js';
import type * as routing from '../routing/Types.js';
import type * as types from './Types.js';

/** Longest time for which one statement keeps an endpoint cold; a list that still says so extends it. */
const MAX_COLD_MS = 60_000;
/** An end that is later by less than this is no news: the list is always a little out of date. */
const END_TOLERANCE_MS = 500;

/** Components that it uses. */
export interface IColdEndpointsDependencies {
  readonly clock: commonTypes.IClock;
  readonly logService: commonServices.ILogService;
  readonly metrics: commonServices.IMetricsService;
}

/** Why an endpoint counts as cold; `peer` if another VM said so. */
type ColdCause = 'listed' | 'answer' | 'first-seen' | 'returned' | 'crash' | 'peer';

/** Causes that only this VM knows of; the others reach all VMs by the list or by another VM. */
const OWN_CAUSES: readonly ColdCause[] = ['listed', 'answer', 'crash'];

interface IColdRecord {
  readonly cause: ColdCause;
  readonly until: commonTypes.Millis;
  readonly timer: commonTypes.IDisposable;
}

/**
 * The endpoints that bear only the warm-up rate of their service: those that say so, and those that may have started
 * lately. Of several statements the one that ends last holds, so that VMs agree in whatever order they learn of them.
 */
export class ColdEndpoints implements types.IRateSource, types.IColdObserver {
  private readonly records = new Map<string, IColdRecord>();

  private services: ReadonlyMap<string, routing.IService> = new Map();

  /** Service of each endpoint in the list. */
  private serviceById: ReadonlyMap<string, string> = new Map();

  /** Endpoints that accepted new requests at the last change; undefined before the first list. */
  private readyIds: ReadonlySet<string> | undefined;

  /** Time for which each endpoint stays cold, as the list said when this VM read it last. */
  private listed: ReadonlyMap<string, commonTypes.Millis> = new Map();

  private readonly changeEmitter = new emitter.Emitter<types.IRateLimitChange>();

  /** @inheritdoc */
  readonly onChange = this.changeEmitter.event;

  /** Starts without endpoints, until it follows a directory. */
  constructor(private readonly deps: IColdEndpointsDependencies) {}

  /**
   * Takes endpoints that a directory adds after its first list for cold ones. Called before anything else that follows
   * the directory sends requests to them.
   */
  follow(directory: endpointDirectory.EndpointDirectory): commonTypes.IDisposable {
    return directory.onChange((list) => this.followList(directory, list));
  }

  /** Applies the warm-up rates of a configuration. */
  configure(services: ReadonlyMap<string, routing.IService>): void {
    const former = new Map(this.limitedIds.map((id) => [id, this.limitOf(id)]));
    this.services = services;
    [...this.records.keys()]
      .filter((id) => former.get(id) !== this.limitOf(id))
      .forEach((endpointId) => this.changeEmitter.fire({ endpointId, isOwn: false }));
  }

  /** @inheritdoc */
  limitOf(endpointId: string): number | undefined {
    return this.records.has(endpointId) ? this.warmUpOf(endpointId)?.rate : undefined;
  }

  /** @inheritdoc */
  get limitedIds(): readonly string[] {
    return [...this.records.keys()].filter((id) => this.limitOf(id) !== undefined);
  }

  /** What is known of all endpoints that are limited. */
  get statements(): readonly types.IColdStatement[] {
    return this.limitedIds.flatMap((id) => this.statementOf(id) ?? []);
  }

  /** What is known of an endpoint; undefined if it is not limited. */
  statementOf(endpointId: string): types.IColdStatement | undefined {
    const record = this.records.get(endpointId);
    const isLimited = this.limitOf(endpointId) !== undefined;
    return record === undefined || !isLimited
      ? undefined
      : { endpointId, left: record.until - this.deps.clock.monotonic() };
  }

  /** @inheritdoc */
  recordListed(statements: readonly types.IColdStatement[]): void {
    this.listed = new Map(statements.map(({ endpointId, left }) => [endpointId, left]));
    statements.forEach(({ endpointId, left }) => this.extend(endpointId, left, 'listed'));
  }

  /** @inheritdoc */
  recordAnswered({ endpointId, left }: types.IColdStatement): void {
    this.extend(endpointId, left, 'answer');
  }

  /** @inheritdoc */
  recordCrash(endpointId: string): void {
    this.extend(endpointId, this.warmUpOf(endpointId)?.duration ?? 0, 'crash');
  }

  /** Adopts what another VM knows. */
  merge(statements: readonly types.IColdStatement[]): void {
    statements.forEach(({ endpointId, left }) => this.extend(endpointId, left, 'peer'));
  }

  private warmUpOf(endpointId: string): routing.IWarmUp | undefined {
    return this.services.get(this.serviceById.get(endpointId) ?? '')?.warmUp;
  }

  private followList(
    directory: endpointDirectory.EndpointDirectory,
    { revision, endpoints }: routing.IEndpointList,
  ): void {
    const former = { ids: this.serviceById, ready: this.readyIds };
    this.serviceById = new Map(endpoints.map(({ id, service }) => [id, service]));
    const services = new Set(this.serviceById.values());
    const readyIds = [...services].flatMap((name) => directory.ready(name).map(({ id }) => id));
    this.readyIds = revision === 0 ? undefined : new Set(readyIds);
    this.limitedIds
      .filter((id) => !former.ids.has(id))
      .forEach((endpointId) => {
        this.reportStart(endpointId);
        this.changeEmitter.fire({ endpointId, isOwn: false });
      });
    if (former.ready !== undefined) {
      readyIds
        .filter((id) => former.ready?.has(id) === false)
        .forEach((id) => this.recordArrival(id, former.ids.has(id)));
    }
  }

  /**
   * Takes an endpoint that gets requests from now on for cold, unless the list said what it is. One that was out of
   * service meanwhile may have started again after the list was made.
   */
  private recordArrival(id: string, isKnown: boolean): void {
    const duration = this.warmUpOf(id)?.duration ?? 0;
    const left = isKnown ? duration : (this.listed.get(id) ?? duration);
    this.extend(id, left, isKnown ? 'returned' : 'first-seen');
  }

  private extend(endpointId: string, left: commonTypes.Millis, cause: ColdCause): void {
    const { clock } = this.deps;
    const capped = Math.min(left, MAX_COLD_MS);
    const until = clock.monotonic() + capped;
    const known = this.records.get(endpointId);
    const tolerance = known === undefined ? 0 : END_TOLERANCE_MS;
    if (!(until > (known?.until ?? clock.monotonic()) + tolerance)) {
      return;
    }
    known?.timer.dispose();
    const timer = clock.setTimer(capped, () => this.end(endpointId));
    this.records.set(endpointId, { cause, until, timer });
    if (this.limitOf(endpointId) === undefined) {
      return;
    }
    if (known === undefined) {
      this.reportStart(endpointId);
    }
    this.changeEmitter.fire({ endpointId, isOwn: OWN_CAUSES.includes(cause) });
  }

  private end(endpointId: string): void {
    const isLimited = this.limitOf(endpointId) !== undefined;
    this.records.delete(endpointId);
    if (isLimited) {
      this.changeEmitter.fire({ endpointId, isOwn: false });
    }
  }

  private reportStart(endpointId: string): void {
    const { clock, logService, metrics } = this.deps;
    const { cause, until } = this.records.get(endpointId) as IColdRecord;
    const left = Math.round(until - clock.monotonic());
    logService.info('endpoint-cold', { endpoint: endpointId, cause, left });
    metrics.count('endpoint_cold', { cause });
  }
}
