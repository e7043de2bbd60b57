import * as emitter from '../common/Emitter.js';
import type * as commonTypes from '../common/Types.js';
import type * as commonServices from '../common/services/Services.js';
import type * as types from './Types.js';

/**
 * Time for which a lifted limit, and the limit of an endpoint that left the list, are remembered; longer than a request
 * whose late response could state an older limit.
 */
const RETENTION_MS = 60_000;
/** Limit of an endpoint that accepts any rate. */
const NO_LIMIT = Number.POSITIVE_INFINITY;

/** Components that a table uses. */
export interface IRateLimitTableDependencies {
  readonly clock: commonTypes.IClock;
  readonly logService: commonServices.ILogService;
  readonly metrics: commonServices.IMetricsService;
  /** What the numbers limit; names the table's log lines and counters. */
  readonly kind?: LimitKind;
}

/** Kind of a limit: requests per second, or rejections per second that an endpoint bears. */
export type LimitKind = 'rate-limit' | 'rejection-limit';

/** Counter of the calls to endpoints that name a limit, and of limits that cannot be decoded. */
const COUNTERS = {
  'rate-limit': { calls: 'limited_endpoint_calls', unreadable: 'rate_limit_unreadable' },
  'rejection-limit': { calls: 'brittle_endpoint_calls', unreadable: 'rejection_limit_unreadable' },
} as const;

/**
 * A limit with the time span in which the endpoint stated it: between the sending of a request and the arrival of its
 * response, on the monotonic clock of this VM.
 */
interface IRecord {
  readonly limit: number;
  readonly sentAt: commonTypes.Millis;
  readonly receivedAt: commonTypes.Millis;
}

/**
 * Holds the latest rate limit of each endpoint, from responses to this VM and from other VMs. Of two statements, the
 * one whose request was sent after the other's response arrived is the later one. If the spans overlap, the order is
 * unknown and the lower limit holds. Tables that exchange their observations therefore agree, in whatever order these
 * arrive. Its size is bounded by the endpoints that named a limit and are listed, or were within RETENTION_MS.
 */
export class RateLimitTable implements types.IRateSource {
  private readonly kind: LimitKind;

  private readonly records = new Map<string, IRecord>();

  private readonly changeEmitter = new emitter.Emitter<types.IRateLimitChange>();

  /** @inheritdoc */
  readonly onChange = this.changeEmitter.event;

  /** Creates an empty table. */
  constructor(private readonly deps: IRateLimitTableDependencies) {
    this.kind = deps.kind ?? 'rate-limit';
  }

  /**
   * Requests per second that an endpoint accepts from all VMs together; undefined if it names no limit.
   *
   * @example
   * const limit = table.limitOf(endpoint.id);
   */
  limitOf(endpointId: string): number | undefined {
    const limit = this.records.get(endpointId)?.limit ?? NO_LIMIT;
    return limit === NO_LIMIT ? undefined : limit;
  }

  /** @inheritdoc */
  get limitedIds(): readonly string[] {
    return [...this.records.keys()].filter((id) => this.limitOf(id) !== undefined);
  }

  /** Observations of all endpoints that name a limit. */
  get observations(): readonly types.IRateLimitObservation[] {
    return this.limitedIds.map((id) => this.observationOf(id) as types.IRateLimitObservation);
  }

  /** What is known of an endpoint; undefined if it never named a limit, or long ago. */
  observationOf(endpointId: string): types.IRateLimitObservation | undefined {
    const record = this.records.get(endpointId);
    if (record === undefined) {
      return undefined;
    }
    const now = this.deps.clock.monotonic();
    return {
      endpointId,
      limit: record.limit === NO_LIMIT ? null : record.limit,
      sentAge: now - record.sentAt,
      receivedAge: now - record.receivedAt,
    };
  }

  /** Counts a call to an endpoint that names a limit. */
  recordCall(endpointId: string, kind: types.CallKind): void {
    if (this.limitOf(endpointId) !== undefined) {
      this.deps.metrics.count(COUNTERS[this.kind].calls, { kind });
    }
  }

  /** Records what a response to this VM says about the limit of its endpoint. */
  recordStatement({ endpointId, limit, origin, sentAt }: types.IRateLimitStatement): void {
    const { clock, logService, metrics } = this.deps;
    if (limit === 'unreadable') {
      metrics.count(COUNTERS[this.kind].unreadable);
      logService.warn(`${this.kind}-unreadable`, { endpoint: endpointId, origin });
      return;
    }
    // A failure may come from a part of the endpoint that names no limits, so that only an answer shows the end of one.
    const isIgnored = origin === 'unverified' || (limit === 'none' && origin === 'failure');
    if (isIgnored || (limit === 'none' && !this.records.has(endpointId))) {
      return;
    }
    const record = {
      limit: limit === 'none' ? NO_LIMIT : limit,
      sentAt,
      receivedAt: clock.monotonic(),
    };
    this.update(endpointId, record, origin, true);
  }

  /**
   * Adopts the observations of another VM, and returns this table's own ones where they differ and hold instead.
   * `source` names the other VM in the log.
   */
  merge(
    observations: readonly types.IRateLimitObservation[],
    source: string,
  ): readonly types.IRateLimitObservation[] {
    const now = this.deps.clock.monotonic();
    observations.forEach(({ endpointId, limit, sentAge, receivedAge }) => {
      const record = {
        limit: limit ?? NO_LIMIT,
        sentAt: now - sentAge,
        receivedAt: now - receivedAge,
      };
      this.update(endpointId, record, source, false);
    });
    return observations.flatMap(({ endpointId, limit }) => {
      const own = this.observationOf(endpointId);
      return own === undefined || own.limit === limit ? [] : [own];
    });
  }

  /** Forgets lifted limits, and limits of endpoints that are not listed, once they are old. */
  retain(listedIds: ReadonlySet<string>): void {
    const oldest = this.deps.clock.monotonic() - RETENTION_MS;
    this.records.forEach(({ limit, receivedAt }, id) => {
      if (receivedAt < oldest && (limit === NO_LIMIT || !listedIds.has(id))) {
        this.records.delete(id);
        this.changeEmitter.fire({ endpointId: id, isOwn: false });
      }
    });
  }

  private update(endpointId: string, stated: IRecord, source: string, isOwn: boolean): void {
    const known = this.records.get(endpointId);
    const latest = known === undefined ? stated : laterOf(known, stated);
    this.records.set(endpointId, latest);
    const previous = known?.limit ?? NO_LIMIT;
    if (latest.limit !== previous) {
      const fields = { endpoint: endpointId, source };
      if (latest.limit === NO_LIMIT) {
        this.deps.logService.info(`${this.kind}-lifted`, { ...fields, previous });
      } else {
        const before = previous === NO_LIMIT ? undefined : previous;
        const { limit } = latest;
        this.deps.logService.info(`${this.kind}-named`, { ...fields, limit, previous: before });
      }
      this.changeEmitter.fire({ endpointId, isOwn });
    }
  }
}

function laterOf(known: IRecord, stated: IRecord): IRecord {
  if (stated.sentAt > known.receivedAt) {
    return stated;
  }
  if (known.sentAt > stated.receivedAt) {
    return known;
  }
  if (known.limit === stated.limit) {
    return {
      limit: known.limit,
      sentAt: Math.max(known.sentAt, stated.sentAt),
      receivedAt: Math.max(known.receivedAt, stated.receivedAt),
    };
  }
  return known.limit < stated.limit ? known : stated;
}
