import type * as blameTable from '../blame/BlameTable.js';
import * as crashAttribution from '../blame/CrashAttribution.js';
import * as quarantineGate from '../blame/QuarantineGate.js';
import * as traits from '../blame/Traits.js';
import type * as blame from '../blame/Types.js';
import type * as commonTypes from '../common/Types.js';
import type * as commonServices from '../common/services/Services.js';
import type * as routing from '../routing/Types.js';
import type * as types from './Types.js';

/** Components that decide on quarantined plans. */
export interface IPlanQuarantineDependencies {
  readonly clock: commonTypes.IClock;
  readonly blameTable: blameTable.BlameTable;
  readonly crashConfirmer: blame.ICrashConfirmer;
  /** Whether requests are admitted as trials after a quarantine. */
  readonly admitsTrials: boolean;
  readonly logService: commonServices.ILogService;
  readonly metrics: commonServices.IMetricsService;
}

/** The part of a coordinator that refuses plans of quarantined requests, and attributes crashes of engines to plans. */
export class PlanQuarantine implements commonTypes.IDisposable {
  private readonly gate: quarantineGate.QuarantineGate;

  private readonly attribution: crashAttribution.CrashAttribution;

  private readonly subscription: commonTypes.IDisposable;

  /** Calls `onVerdict` for each trait whose quarantine begins or is extended. */
  constructor(
    private readonly deps: IPlanQuarantineDependencies,
    onVerdict: (trait: string) => void,
  ) {
    const { clock, blameTable: table, crashConfirmer: confirmer, admitsTrials } = deps;
    const { logService, metrics } = deps;
    this.gate = new quarantineGate.QuarantineGate(table, clock, admitsTrials);
    this.attribution = new crashAttribution.CrashAttribution({
      clock,
      table,
      confirmer,
      logService,
      metrics,
    });
    this.subscription = table.onVerdict(({ trait }) => onVerdict(trait));
  }

  /** Returns the refusal of a plan with a quarantined trait; undefined if the plan is admitted. */
  check(req: types.IPlanRequest): types.IPlanRefused | undefined {
    const refusal = this.gate.admit(req.planId, PlanQuarantine.traitsOf(req));
    if (refusal === undefined) {
      return undefined;
    }
    const { trait, retryAfter } = refusal;
    this.deps.logService.info('plan-quarantined', {
      request: req.requestId,
      plan: req.planId,
      trait,
    });
    return { kind: 'refused', reason: 'quarantined', retryAfter };
  }

  /** Time for which a plan is refused; 0 if it is not, or may become a trial. */
  refusedFor(req: types.IPlanRequest): commonTypes.Millis {
    return this.deps.blameTable.refusalOf(PlanQuarantine.traitsOf(req))?.retryAfter ?? 0;
  }

  /** Records that a plan is sent to an engine. */
  recordPlaced(req: types.IPlanRequest, engine: routing.IEndpoint): void {
    this.attribution.recordPlaced(req.planId, engine, PlanQuarantine.traitsOf(req));
  }

  /** Whether a trait of a plan is quarantined, or was until lately, so that the plan may crash its engine. */
  isSuspect(req: types.IPlanRequest): boolean {
    return this.deps.blameTable.verdictOf(PlanQuarantine.traitsOf(req)) !== undefined;
  }

  /** Records that a plan is also sent to a second engine. */
  recordSecond(req: types.IPlanRequest, engine: routing.IEndpoint): void {
    this.attribution.recordPlaced(secondIdOf(req.planId), engine, PlanQuarantine.traitsOf(req));
  }

  /** Records how the attempt at one of two engines of a plan ended; the other one is the attempt of the plan from now on. */
  recordRaceEnded(
    planId: string,
    loser: 'first' | 'second',
    end: crashAttribution.AttemptEnd,
    engineId: string | undefined,
  ): void {
    const loserId = loser === 'first' ? planId : secondIdOf(planId);
    this.attribution.recordEnded(loserId, end, engineId);
    if (loser === 'first') {
      this.attribution.rename(secondIdOf(planId), planId);
    }
  }

  /** Records that the engine of a plan has begun a successful answer. */
  recordStarted(planId: string): void {
    this.attribution.recordStarted(planId);
  }

  /** Records how the attempt of a plan at an engine ended. */
  recordEnded(planId: string, end: crashAttribution.AttemptEnd, engineId?: string): void {
    this.attribution.recordEnded(planId, end, engineId);
    this.attribution.recordEnded(secondIdOf(planId), 'left');
    if (end !== 'not-run') {
      this.gate.release(planId);
    }
  }

  /** @inheritdoc */
  dispose(): void {
    this.subscription.dispose();
    this.attribution.dispose();
  }

  private static traitsOf(req: types.IPlanRequest): blame.IRequestTraits {
    return traits.traitsOf(req.service, req.fingerprint ?? req.requestId, req.prompt);
  }
}

function secondIdOf(planId: string): string {
  return `${planId}/second`;
}
