import type * as commonTypes from '../common/Types.js';
import type * as commonServices from '../common/services/Services.js';
import type * as routing from '../routing/Types.js';
import type * as blameTable from './BlameTable.js';
import type * as types from './Types.js';

/** A request clears its traits once its endpoint has run for this long after the begin of the answer. */
export const PROOF_DELAY_MS = 500;
/** A request whose answer had begun this shortly before a crash may have caused it. */
const RECENT_START_MS = 250;
/** Delay of the check on an endpoint: its port may close a little later than its connections. */
const CONFIRM_DELAY_MS = 50;
/** Time after the first failure in which other VMs report what happened before the crash. */
const REPORT_WINDOW_MS = 200;
/** Failures of an endpoint within this time after an incident belong to it. */
const INCIDENT_PAUSE_MS = 1000;

/**
 * How an attempt ended: `whole` with a complete answer, `not-run` if the endpoint did not execute the request,
 * `broken` if there was no complete answer, `left` if it was cancelled.
 */
export type AttemptEnd = 'whole' | 'not-run' | 'broken' | 'left';

/** Components of an attribution. */
export interface ICrashAttributionDependencies extends blameTable.IBlameTableDependencies {
  readonly table: blameTable.BlameTable;
  readonly confirmer: types.ICrashConfirmer;
  readonly logService: commonServices.ILogService;
}

interface IAttempt {
  readonly id: string;
  readonly endpoint: routing.IEndpoint;
  readonly traits: types.IRequestTraits;
  readonly placedAt: commonTypes.Millis;
  /** Begin of a successful answer; undefined before. */
  startedAt: commonTypes.Millis | undefined;
  proofTimer: commonTypes.IDisposable | undefined;
}

interface IIncident {
  /** Id of the crash, if it is one. */
  readonly id: string;
  readonly endpoint: routing.IEndpoint;
  readonly at: commonTypes.Millis;
  readonly suspects: Map<string, IAttempt>;
}

/**
 * Finds out which requests may have crashed an endpoint, from the attempts that a planner has placed there. Suspects are
 * the requests at a crashed endpoint whose answer had not begun, or just had. Nobody is suspected if the crash is not
 * confirmed, as after a broken link or a reset connection.
 */
export class CrashAttribution implements commonTypes.IDisposable {
  private readonly attempts = new Map<string, IAttempt>();

  private readonly attemptsByEndpoint = new Map<string, Map<string, IAttempt>>();

  private readonly incidents = new Map<string, IIncident>();

  /** Ends, on the monotonic clock, of the time in which failures of an endpoint open no new incident. */
  private readonly pauseEnds = new Map<string, commonTypes.Millis>();

  private isDisposed = false;

  /** Records crashes and proofs in the table of `deps`. */
  constructor(private readonly deps: ICrashAttributionDependencies) {}

  /** Records that a request is sent to an endpoint, in place of an earlier attempt with the same id. */
  recordPlaced(id: string, endpoint: routing.IEndpoint, traits: types.IRequestTraits): void {
    this.remove(id);
    const placedAt = this.deps.clock.monotonic();
    const attempt = {
      id,
      endpoint,
      traits,
      placedAt,
      startedAt: undefined,
      proofTimer: undefined,
    };
    this.add(attempt);
  }

  /** Continues an attempt under the id of another one, which it replaces; an unknown id is ignored. */
  rename(id: string, newId: string): void {
    const attempt = this.attempts.get(id);
    if (attempt === undefined) {
      return;
    }
    [id, newId].forEach((each) => this.remove(each));
    const renamed = { ...attempt, id: newId };
    this.add(renamed);
    const suspects = this.incidents.get(attempt.endpoint.id)?.suspects;
    if (suspects?.delete(id) === true) {
      suspects.set(newId, renamed);
    }
  }

  /** Records that a successful answer has begun; unknown ids are ignored. */
  recordStarted(id: string): void {
    const attempt = this.attempts.get(id);
    if (attempt === undefined || attempt.startedAt !== undefined) {
      return;
    }
    attempt.startedAt = this.deps.clock.monotonic();
    attempt.proofTimer = this.deps.clock.setTimer(PROOF_DELAY_MS, () => {
      if (!this.incidents.has(attempt.endpoint.id)) {
        this.deps.table.recordProof(attempt.traits);
      }
    });
  }

  /**
   * Records the end of an attempt. `endpoint` is needed only for a broken attempt that another planner had placed: it
   * concerns the requests of this planner at the same endpoint.
   */
  recordEnded(id: string, end: AttemptEnd, endpointId?: string): void {
    const attempt = this.attempts.get(id);
    const failedId = attempt?.endpoint.id ?? endpointId;
    if (end === 'broken' && failedId !== undefined) {
      this.openIncident(failedId);
    }
    if (end === 'whole' && attempt?.startedAt !== undefined) {
      this.deps.table.recordProof(attempt.traits);
    }
    if ((end === 'whole' || end === 'not-run') && failedId !== undefined) {
      this.incidents.get(failedId)?.suspects.delete(id);
    }
    this.remove(id);
  }

  /** @inheritdoc */
  dispose(): void {
    this.isDisposed = true;
    [...this.attempts.keys()].forEach((id) => this.remove(id));
  }

  private add(attempt: IAttempt): void {
    const { id, endpoint } = attempt;
    this.attempts.set(id, attempt);
    const others = this.attemptsByEndpoint.get(endpoint.id) ?? new Map<string, IAttempt>();
    others.set(id, attempt);
    this.attemptsByEndpoint.set(endpoint.id, others);
  }

  private remove(id: string): void {
    const attempt = this.attempts.get(id);
    if (attempt === undefined) {
      return;
    }
    attempt.proofTimer?.dispose();
    this.attempts.delete(id);
    const others = this.attemptsByEndpoint.get(attempt.endpoint.id);
    others?.delete(id);
    if (others?.size === 0) {
      this.attemptsByEndpoint.delete(attempt.endpoint.id);
    }
  }

  private openIncident(endpointId: string): void {
    const now = this.deps.clock.monotonic();
    const attempts = [...(this.attemptsByEndpoint.get(endpointId)?.values() ?? [])];
    const isPaused = now < (this.pauseEnds.get(endpointId) ?? 0);
    const [first] = attempts;
    if (first === undefined || isPaused || this.incidents.has(endpointId)) {
      return;
    }
    const suspects = attempts.filter(
      ({ startedAt }) => startedAt === undefined || startedAt > now - RECENT_START_MS,
    );
    const incident = {
      id: `${endpointId}@${Math.round(this.deps.clock.now())}`,
      endpoint: first.endpoint,
      at: now,
      suspects: new Map(suspects.map((attempt) => [attempt.id, attempt])),
    };
    this.incidents.set(endpointId, incident);
    void this.resolveIncident(incident);
  }

  private async resolveIncident(incident: IIncident): Promise<void> {
    const { clock, confirmer } = this.deps;
    const { endpoint } = incident;
    await clock.sleep(CONFIRM_DELAY_MS);
    const [hasCrashed] = await Promise.all([
      confirmer.hasCrashed(endpoint),
      clock.sleep(REPORT_WINDOW_MS - CONFIRM_DELAY_MS),
    ]);
    this.incidents.delete(endpoint.id);
    if (this.isDisposed) {
      return;
    }
    this.pause(endpoint.id);
    this.log(incident, hasCrashed);
    if (hasCrashed) {
      this.removeAttemptsBefore(incident);
      this.recordCrash(incident);
    }
  }

  /** A report on these attempts that is still to come says nothing new, and none of them succeeds any more. */
  private removeAttemptsBefore({ endpoint, at }: IIncident): void {
    const attempts = [...(this.attemptsByEndpoint.get(endpoint.id)?.values() ?? [])];
    attempts.filter(({ placedAt }) => placedAt <= at).forEach(({ id }) => this.remove(id));
  }

  private recordCrash({ id, endpoint, at, suspects }: IIncident): void {
    const { metrics, table } = this.deps;
    metrics.count('endpoint_crashes');
    table.recordCrash({
      id,
      endpointId: endpoint.id,
      at,
      suspects: [...suspects.values()].map(({ traits, placedAt }) => ({ ...traits, placedAt })),
    });
  }

  private pause(endpointId: string): void {
    const { clock } = this.deps;
    const end = clock.monotonic() + INCIDENT_PAUSE_MS;
    this.pauseEnds.set(endpointId, end);
    clock.setTimer(INCIDENT_PAUSE_MS, () => this.pauseEnds.delete(endpointId));
  }

  private log({ id, endpoint, suspects }: IIncident, hasCrashed: boolean): void {
    const { logService } = this.deps;
    const fields = {
      endpoint: endpoint.id,
      zone: endpoint.availabilityZone,
      suspects: [...suspects.keys()].join(','),
    };
    if (hasCrashed) {
      logService.warn('endpoint-crashed', { ...fields, crash: id });
    } else {
      logService.info('endpoint-crash-not-confirmed', fields);
    }
  }
}
