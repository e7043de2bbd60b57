import * as lruCache from 'lru-cache';
import type * as commonServices from '../../common/services/Services.js';
import type * as commonTypes from '../../common/Types.js';
import type * as configTypes from '../../config/Types.js';
import type * as decisionOptions from '../DecisionOptions.js';
import type * as entryServices from '../services/Services.js';

/** Incidents in one availability zone within this time may have a common cause. */
const COMMON_CAUSE_WINDOW_MS = 1_000;
/** Maximum number of crash ids taken from one hint; a fingerprint is quarantined well before that. */
const MAX_CRASHES_PER_HINT = 8;

/** One attempt in flight, as tracked for crash attribution. */
export interface IInFlightAttempt {
  readonly endpoint: configTypes.IEndpoint;
  readonly fingerprint: string;
}

/** Crash attribution of one fingerprint, as exchanged among entry VMs. */
export interface IBlameHint {
  readonly fingerprint: string;
  /** Ids of the crashes during which the fingerprint was in flight at the endpoint. */
  readonly crashes: readonly string[];
  /** True when the fingerprint has run successfully alone and so did not cause these crashes. */
  readonly cleared: boolean;
}

/** Sends crash hints to the other entry VMs. */
export interface IBlameAnnouncer {
  /** Sends the hints at once; resolves when the other VMs have them or the time for it is over. */
  announce(hints: readonly IBlameHint[]): Promise<void>;
}

/** Checks whether an endpoint whose connection broke has crashed. */
export interface ICrashConfirmer {
  /** Resolves with the crash id, the same for all callers, or with undefined when no crash is proven. */
  confirm(endpoint: configTypes.IEndpoint): Promise<string | undefined>;
}

interface IIncident {
  readonly endpoint: configTypes.IEndpoint;
  readonly at: commonTypes.Millis;
  readonly fingerprints: Set<string>;
  readonly crashed: Promise<boolean>;
}

interface IRecord {
  readonly crashes: Set<string>;
  /** Whether the control group has quarantined the fingerprint too; needed to detect that it is lifted. */
  confirmed: boolean;
}

/**
 * Identifies requests that crash endpoints. When a connection breaks, all fingerprints in flight at that
 * endpoint form one incident. When the crash of the endpoint is confirmed, each of them becomes a suspect,
 * runs alone from then on, and is quarantined after the second crash. When endpoints of one zone are lost at
 * the same time under different requests, a common cause is assumed and no fingerprint becomes a suspect.
 * Holds at most `maxFingerprints` fingerprints.
 */
export class CrashTracker {
  private readonly records: lruCache.LRUCache<string, IRecord>;

  /** Ids of the crashes that each fingerprint has been cleared of. */
  private readonly clearedCrashes: lruCache.LRUCache<string, Set<string>>;

  private readonly attemptsInFlight = new Map<string, Set<IInFlightAttempt>>();

  private readonly incidents = new Map<string, IIncident>();

  private recentIncidents: readonly IIncident[] = [];

  /** Reports suspects to the other entry VMs by `announcer` and to the control group by `service`. */
  constructor(
    private readonly options: decisionOptions.ICrashOptions,
    private readonly clock: commonTypes.IClock,
    private readonly log: commonServices.ILogService,
    private readonly metrics: commonServices.IMetricsService,
    private readonly service: entryServices.IQuarantineService,
    private readonly confirmer: ICrashConfirmer,
    private readonly announcer: IBlameAnnouncer,
  ) {
    const max = Math.max(1, options.maxFingerprints);
    const perf = { now: () => clock.monotonic() };
    this.records = new lruCache.LRUCache({
      max,
      ttl: options.blameRetentionMs,
      perf,
      ttlResolution: 0,
    });
    this.clearedCrashes = new lruCache.LRUCache({
      max,
      ttl: options.blameRetentionMs,
      perf,
      ttlResolution: 0,
    });
  }

  /** Whether requests with this fingerprint are refused. */
  isQuarantined(fingerprint: string): boolean {
    const record = this.records.get(fingerprint);
    const confirmed = this.service.isQuarantined(fingerprint);
    if (!record || record.crashes.size < this.options.quarantineAfterCrashes) {
      return confirmed;
    }
    if (record.confirmed && !confirmed) {
      // The control group no longer lists the fingerprint, so an operator has lifted the quarantine.
      this.clearCrashes(fingerprint, [...record.crashes]);
      return false;
    }
    record.confirmed = record.confirmed || confirmed;
    return true;
  }

  /** Whether requests with this fingerprint must run alone on an endpoint. */
  isSuspect(fingerprint: string): boolean {
    if (this.records.has(fingerprint)) {
      return true;
    }
    return !this.clearedCrashes.has(fingerprint) && this.service.isSuspect(fingerprint);
  }

  /** Records the start of an attempt; each attempt must be ended by one of the methods below. */
  recordStart(endpoint: configTypes.IEndpoint, fingerprint: string): IInFlightAttempt {
    const attempt: IInFlightAttempt = { endpoint, fingerprint };
    const attempts = this.attemptsInFlight.get(endpoint.name) ?? new Set();
    attempts.add(attempt);
    this.attemptsInFlight.set(endpoint.name, attempts);
    return attempt;
  }

  /** Records a successful attempt, which removes its fingerprint from an open incident of the endpoint. */
  recordSuccess(attempt: IInFlightAttempt): void {
    this.removeAttempt(attempt);
    this.incidents.get(attempt.endpoint.name)?.fingerprints.delete(attempt.fingerprint);
    const { fingerprint } = attempt;
    const crashes = [...(this.records.get(fingerprint)?.crashes ?? [])];
    if (crashes.length > 0 && crashes.length < this.options.quarantineAfterCrashes) {
      this.clearCrashes(fingerprint, crashes);
      void this.announcer.announce([{ fingerprint, crashes, cleared: true }]);
    }
  }

  /** Records an attempt whose end gives no evidence for or against a crash. */
  recordEnd(attempt: IInFlightAttempt): void {
    this.removeAttempt(attempt);
  }

  /** Records a broken connection; resolves with whether the endpoint crashed, after hints have been sent. */
  async recordConnectionLost(attempt: IInFlightAttempt): Promise<boolean> {
    const { name } = attempt.endpoint;
    const incident = this.incidents.get(name) ?? this.openIncident(attempt.endpoint);
    incident.fingerprints.add(attempt.fingerprint);
    this.removeAttempt(attempt);
    return incident.crashed;
  }

  /** Applies a hint from another entry VM. */
  observeHint(hint: IBlameHint): void {
    if (hint.cleared) {
      this.clearCrashes(hint.fingerprint, hint.crashes);
    } else {
      this.addCrashes(hint.fingerprint, hint.crashes);
    }
  }

  /** Number of attempts in flight at the endpoint. */
  inFlightCount(endpoint: string): number {
    return this.attemptsInFlight.get(endpoint)?.size ?? 0;
  }

  private removeAttempt(attempt: IInFlightAttempt): void {
    const { name } = attempt.endpoint;
    const attempts = this.attemptsInFlight.get(name);
    attempts?.delete(attempt);
    if (attempts?.size === 0) {
      this.attemptsInFlight.delete(name);
    }
  }

  private openIncident(endpoint: configTypes.IEndpoint): IIncident {
    const attempts = this.attemptsInFlight.get(endpoint.name) ?? new Set<IInFlightAttempt>();
    const fingerprints = new Set([...attempts].map((attempt) => attempt.fingerprint));
    const at = this.clock.monotonic();
    // Deferred to a microtask, so that the incident is in the table by then.
    const crashed = Promise.resolve().then(() => this.resolveIncident(endpoint.name));
    const incident: IIncident = { endpoint, at, fingerprints, crashed };
    this.incidents.set(endpoint.name, incident);
    return incident;
  }

  private async resolveIncident(name: string): Promise<boolean> {
    const incident = this.incidents.get(name);
    if (!incident) {
      return false;
    }
    const crash = await this.confirmer.confirm(incident.endpoint);
    this.incidents.delete(name);
    if (crash === undefined) {
      return false;
    }
    if (this.hasCommonCause(incident)) {
      this.log.warn('endpoints-lost-together', { zone: incident.endpoint.zone, endpoint: name });
      return true;
    }
    await this.recordSuspects(incident, crash);
    return true;
  }

  private hasCommonCause(incident: IIncident): boolean {
    const since = incident.at - COMMON_CAUSE_WINDOW_MS;
    this.recentIncidents = [...this.recentIncidents.filter((other) => other.at >= since), incident];
    const sameZone = [...this.recentIncidents, ...this.incidents.values()].filter(
      (other) =>
        other.endpoint.name !== incident.endpoint.name &&
        other.endpoint.zone === incident.endpoint.zone,
    );
    return sameZone.some((other) => disjoint(other.fingerprints, incident.fingerprints));
  }

  private async recordSuspects(incident: IIncident, crash: string): Promise<void> {
    const fingerprints = [...incident.fingerprints];
    fingerprints.forEach((fingerprint) => this.addCrashes(fingerprint, [crash]));
    this.metrics.count('endpoint_crashed', {});
    this.log.warn('endpoint-crashed', {
      endpoint: incident.endpoint.name,
      crash,
      suspects: fingerprints.length,
    });
    const hints = fingerprints.map((fingerprint) => ({
      fingerprint,
      crashes: [...(this.records.get(fingerprint)?.crashes ?? [])],
      cleared: false,
    }));
    const announced = Promise.allSettled([
      this.announcer.announce(hints),
      this.service.reportCrash(incident.endpoint.name, fingerprints),
    ]);
    await Promise.race([announced, this.clock.sleep(this.options.announceTimeoutMs)]);
  }

  private clearCrashes(fingerprint: string, crashes: readonly string[]): void {
    const cleared = this.clearedCrashes.get(fingerprint) ?? new Set<string>();
    crashes.slice(0, MAX_CRASHES_PER_HINT).forEach((crash) => cleared.add(crash));
    this.clearedCrashes.set(fingerprint, cleared);
    const record = this.records.get(fingerprint);
    crashes.forEach((crash) => record?.crashes.delete(crash));
    if (record?.crashes.size === 0) {
      this.records.delete(fingerprint);
    }
  }

  private addCrashes(fingerprint: string, crashes: readonly string[]): void {
    const cleared = this.clearedCrashes.get(fingerprint);
    const counted = crashes.filter((crash) => !cleared?.has(crash));
    if (counted.length === 0) {
      return;
    }
    const record = this.records.get(fingerprint) ?? { crashes: new Set(), confirmed: false };
    const before = record.crashes.size;
    counted.slice(0, MAX_CRASHES_PER_HINT).forEach((crash) => record.crashes.add(crash));
    this.records.set(fingerprint, record);
    const quarantined = record.crashes.size >= this.options.quarantineAfterCrashes;
    if (quarantined && before < this.options.quarantineAfterCrashes) {
      this.metrics.count('request_quarantined', {});
      this.log.warn('request-quarantined', { fingerprint, crashes: record.crashes.size });
    }
  }
}

function disjoint(a: ReadonlySet<string>, b: ReadonlySet<string>): boolean {
  return ![...a].some((item) => b.has(item));
}
