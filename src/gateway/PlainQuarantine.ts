import type * as blameTable from '../blame/BlameTable.js';
import * as crashAttribution from '../blame/CrashAttribution.js';
import * as blameTraits from '../blame/Traits.js';
import * as trialRequests from '../blame/TrialRequests.js';
import type * as blame from '../blame/Types.js';
import type * as commonTypes from '../common/Types.js';
import type * as commonServices from '../common/services/Services.js';
import type * as routing from '../routing/Types.js';
import type * as requestScope from './RequestScope.js';

/** Components of a PlainQuarantine. */
export interface IPlainQuarantineDependencies {
  readonly clock: commonTypes.IClock;
  readonly blameTable: blameTable.BlameTable;
  readonly crashConfirmer: blame.ICrashConfirmer;
  readonly blameLink: blame.IBlameLink;
  readonly logService: commonServices.ILogService;
  readonly metrics: commonServices.IMetricsService;
}

/**
 * Refuses plain requests that crash the endpoints which run them, and attributes crashes of plain endpoints to the
 * requests that this VM had there. Each VM records its own requests; the table joins the records of one crash.
 */
export class PlainQuarantine implements commonTypes.IDisposable {
  private readonly attribution: crashAttribution.CrashAttribution;

  private readonly trials: trialRequests.TrialRequests;

  /** Fires when the quarantine of a trait begins or is extended. */
  readonly onVerdict: commonTypes.IEvent<blame.IVerdict>;

  /** Uses the table that this VM shares with the others. */
  constructor(private readonly deps: IPlainQuarantineDependencies) {
    const { blameTable: table, crashConfirmer: confirmer, ...services } = deps;
    this.attribution = new crashAttribution.CrashAttribution({ ...services, table, confirmer });
    this.trials = new trialRequests.TrialRequests(deps.blameLink, deps.clock);
    this.onVerdict = table.onVerdict;
  }

  /** Returns the traits of a plain request: its content, which resends of any caller of the workspace share. */
  static traitsOf({
    request,
    service,
    workspace,
  }: requestScope.RequestScope): blame.IRequestTraits {
    const fingerprint = blameTraits.fingerprintOf({ ...request, workspace: workspace?.name });
    return blameTraits.traitsOf(service, fingerprint, undefined);
  }

  /** Returns the refusal of a request while it is quarantined. */
  refusalOf(traits: blame.IRequestTraits): blame.IQuarantineRefusal | undefined {
    return this.deps.blameTable.refusalOf(traits);
  }

  /**
   * Returns the refusal of a new request, or undefined if it is admitted. After a quarantine the coordinator decides,
   * which admits one such request at a time.
   */
  admit(
    traits: blame.IRequestTraits,
  ): blame.IQuarantineRefusal | undefined | Promise<blame.IQuarantineRefusal | undefined> {
    const verdict = this.deps.blameTable.verdictOf(traits);
    if (verdict === undefined) {
      return undefined;
    }
    return this.refusalOf(traits) ?? this.trials.request(verdict.trait, traits);
  }

  /** Records that an attempt is sent to an endpoint. */
  recordPlaced(attempt: string, endpoint: routing.IEndpoint, traits: blame.IRequestTraits): void {
    this.attribution.recordPlaced(attempt, endpoint, traits);
  }

  /** Records that a successful answer has begun. */
  recordStarted(attempt: string): void {
    this.attribution.recordStarted(attempt);
  }

  /** Records how an attempt ended. */
  recordEnded(attempt: string, end: crashAttribution.AttemptEnd): void {
    this.attribution.recordEnded(attempt, end);
  }

  /** @inheritdoc */
  dispose(): void {
    this.attribution.dispose();
    this.trials.dispose();
  }
}
