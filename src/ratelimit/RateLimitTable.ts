import type * as commonTypes from '../common/Types.js';
import type * as commonServices from '../common/services/Services.js';
import type * as types from './Types.js';

/** Components that a table uses. */
export interface IRateLimitTableDependencies {
  readonly clock: commonTypes.IClock;
  readonly logService: commonServices.ILogService;
  readonly metrics: commonServices.IMetricsService;
}

/** Holds the rate limits that endpoints named in responses to this VM. */
export class RateLimitTable implements types.ICallObserver {
  private readonly limits = new Map<string, number>();

  /** Creates an empty table. */
  constructor(private readonly deps: IRateLimitTableDependencies) {}

  /** Requests per second that an endpoint accepts from all VMs together; undefined if it names no limit. */
  limitOf(endpointId: string): number | undefined {
    return this.limits.get(endpointId);
  }

  /** @inheritdoc */
  recordCall(endpointId: string, kind: types.CallKind): void {
    if (this.limits.has(endpointId)) {
      this.deps.metrics.count('limited_endpoint_calls', { kind });
    }
  }

  /** @inheritdoc */
  recordStatement({ endpointId, limit, origin }: types.IRateLimitStatement): void {
    const { logService, metrics } = this.deps;
    const previous = this.limits.get(endpointId);
    if (limit === 'unreadable') {
      metrics.count('rate_limit_unreadable');
      logService.warn('rate-limit-unreadable', { endpoint: endpointId, origin });
    } else if (limit === 'none') {
      if (origin === 'answer' && this.limits.delete(endpointId)) {
        logService.info('rate-limit-lifted', { endpoint: endpointId, previous });
      }
    } else if (origin !== 'unverified' && limit !== previous) {
      this.limits.set(endpointId, limit);
      logService.info('rate-limit-named', { endpoint: endpointId, limit, previous, origin });
    }
  }
}
