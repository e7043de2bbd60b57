import type * as requestError from '../common/RequestError.js';
import type * as commonServices from '../common/services/Services.js';
import type * as requestScope from './pipeline/RequestScope.js';
import type * as services from './services/Services.js';

/** Writes the outcome of each request to the log, the metrics and the accounting rollups. */
export class RequestRecorder {
  /** `accounting` takes the rollups, which survive a restart of this process. */
  constructor(
    private readonly accounting: services.IAccountingService,
    private readonly log: commonServices.ILogService,
    private readonly metrics: commonServices.IMetricsService,
  ) {}

  /** Records one finished request; `err` is undefined when the whole answer was sent. */
  record(scope: requestScope.RequestScope, err: requestError.RequestError | undefined): void {
    const { ctx, elapsed, costs } = scope;
    const outcome = err ? err.code : successOutcome(scope);
    this.accounting.record({
      workspace: ctx.workspace,
      target: ctx.target,
      kind: ctx.kind.name,
      outcome,
      latency: elapsed,
      costs,
    });
    this.metrics.count('request', { kind: ctx.kind.name, outcome });
    this.metrics.timing('request_ms', elapsed, { kind: ctx.kind.name });
    this.log.info('request', {
      request: ctx.id,
      workspace: ctx.workspace,
      target: ctx.target,
      kind: ctx.kind.name,
      outcome,
      run: err?.run ?? 'run',
      ms: Math.round(elapsed),
      attempts: costs.reduce((sum, cost) => sum + cost.attempts, 0),
    });
  }
}

function successOutcome(scope: requestScope.RequestScope): 'in-time' | 'late' {
  return scope.deadlinePassed ? 'late' : 'in-time';
}
