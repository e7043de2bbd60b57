import * as lruCache from 'lru-cache';
import type * as commonServices from '../../common/services/Services.js';
import type * as commonTypes from '../../common/Types.js';
import type * as configTypes from '../../config/Types.js';
import type * as decisionOptions from '../DecisionOptions.js';
import type * as entryServices from '../services/Services.js';

/** Incidents in the same availability zone this close together have a common cause. */
const COMMON_CAUSE_MS = 1_000;
/** Crashes taken from one hint; a fingerprint is refused long before it has so many. */
const MAX_CRASHES = 8;

/** One attempt in flight, for blame. */
export interface IFlight {
  readonly endpoint: configTypes.IEndpoint;
  readonly fingerprint: string;
}

/** What entry VMs tell each other of a fingerprint. */
export interface IBlameHint {
  readonly fingerprint: string;
  /** Ids of the crashes beside which it was in flight. */
  readonly crashes: readonly string[];
  /** It ran well alone: these crashes were not its own. */
  readonly cleared: boolean;
}

/** Tells the other entry VMs; resolves when they have it or the time for it is over. */
export interface IBlameAnnouncer {
  /** Sends the hints at once. */
  announce(hints: readonly IBlameHint[]): Promise<void>;
}

/** Says whether an endpoint whose connections broke has crashed, and as which incarnation. */
export interface ICrashConfirmer {
  /** The id of the crash, the same for all who ask about it; undefined when the endpoint lives on. */
  confirm(endpoint: configTypes.IEndpoint): Promise<string | undefined>;
}

interface IIncident {
  readonly endpoint: configTypes.IEndpoint;
  readonly at: commonTypes.Millis;
  readonly fingerprints: Set<string>;
  readonly verdict: Promise<boolean>;
}

interface IRecord {
  readonly crashes: Set<string>;
  /** Whether the control group has quarantined it too, so that its lifting is seen. */
  confirmed: boolean;
}

/**
 * Requests that crash endpoints. When a connection breaks, all fingerprints in flight at that endpoint
 * are one incident; when the endpoint is confirmed to have crashed, each of them is a suspect, runs alone
 * from then on, and is refused after the second crash. Endpoints of one zone lost together under
 * different requests are a common cause and blame nobody. Bounded by `maxFingerprints`.
 */
export class CrashBlame {
  private readonly records: lruCache.LRUCache<string, IRecord>;

  /** Crashes of which a fingerprint was cleared. */
  private readonly cleared: lruCache.LRUCache<string, Set<string>>;

  private readonly flights = new Map<string, Set<IFlight>>();

  private readonly incidents = new Map<string, IIncident>();

  private recent: readonly IIncident[] = [];

  /** Shares what it learns by `announcer` and `service`. */
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
    this.cleared = new lruCache.LRUCache({
      max,
      ttl: options.blameRetentionMs,
      perf,
      ttlResolution: 0,
    });
  }

  /** Whether the fingerprint is refused. */
  isQuarantined(fingerprint: string): boolean {
    const record = this.records.get(fingerprint);
    const confirmed = this.service.isQuarantined(fingerprint);
    if (!record || record.crashes.size < this.options.quarantineAfterCrashes) {
      return confirmed;
    }
    if (record.confirmed && !confirmed) {
      // The control group had it and has it no more: an operator lifted it.
      this.clear(fingerprint, [...record.crashes]);
      return false;
    }
    record.confirmed = record.confirmed || confirmed;
    return true;
  }

  /** Whether the fingerprint must run alone. */
  isSuspect(fingerprint: string): boolean {
    if (this.records.has(fingerprint)) {
      return true;
    }
    return !this.cleared.has(fingerprint) && this.service.isSuspect(fingerprint);
  }

  /** An attempt starts. */
  start(endpoint: configTypes.IEndpoint, fingerprint: string): IFlight {
    const flight: IFlight = { endpoint, fingerprint };
    const flights = this.flights.get(endpoint.name) ?? new Set();
    flights.add(flight);
    this.flights.set(endpoint.name, flights);
    return flight;
  }

  /** An attempt ended well: it is not to blame for what happens beside it. */
  succeed(flight: IFlight): void {
    this.remove(flight);
    this.incidents.get(flight.endpoint.name)?.fingerprints.delete(flight.fingerprint);
    const { fingerprint } = flight;
    const crashes = [...(this.records.get(fingerprint)?.crashes ?? [])];
    if (crashes.length > 0 && crashes.length < this.options.quarantineAfterCrashes) {
      this.clear(fingerprint, crashes);
      void this.announcer.announce([{ fingerprint, crashes, cleared: true }]);
    }
  }

  /** An attempt ended in a way that says nothing of a crash. */
  end(flight: IFlight): void {
    this.remove(flight);
  }

  /** The attempt's connection broke; resolves, once all was told, with whether the endpoint crashed. */
  async lose(flight: IFlight): Promise<boolean> {
    const { name } = flight.endpoint;
    const incident = this.incidents.get(name) ?? this.open(flight.endpoint);
    incident.fingerprints.add(flight.fingerprint);
    this.remove(flight);
    return incident.verdict;
  }

  /** Takes what another entry VM told. */
  observe(hint: IBlameHint): void {
    if (hint.cleared) {
      this.clear(hint.fingerprint, hint.crashes);
    } else {
      this.blame(hint.fingerprint, hint.crashes);
    }
  }

  /** Whether any attempt is in flight at the endpoint. */
  inFlight(endpoint: string): number {
    return this.flights.get(endpoint)?.size ?? 0;
  }

  private remove(flight: IFlight): void {
    const { name } = flight.endpoint;
    const flights = this.flights.get(name);
    flights?.delete(flight);
    if (flights?.size === 0) {
      this.flights.delete(name);
    }
  }

  private open(endpoint: configTypes.IEndpoint): IIncident {
    const flights = this.flights.get(endpoint.name) ?? new Set<IFlight>();
    const fingerprints = new Set([...flights].map((flight) => flight.fingerprint));
    const at = this.clock.monotonic();
    // Started in a later turn, when the incident is in the table.
    const verdict = Promise.resolve().then(() => this.judge(endpoint.name));
    const incident: IIncident = { endpoint, at, fingerprints, verdict };
    this.incidents.set(endpoint.name, incident);
    return incident;
  }

  private async judge(name: string): Promise<boolean> {
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
    await this.convict(incident, crash);
    return true;
  }

  private hasCommonCause(incident: IIncident): boolean {
    const since = incident.at - COMMON_CAUSE_MS;
    this.recent = [...this.recent.filter((other) => other.at >= since), incident];
    const elsewhere = [...this.recent, ...this.incidents.values()].filter(
      (other) =>
        other.endpoint.name !== incident.endpoint.name &&
        other.endpoint.zone === incident.endpoint.zone,
    );
    return elsewhere.some((other) => disjoint(other.fingerprints, incident.fingerprints));
  }

  private async convict(incident: IIncident, crash: string): Promise<void> {
    const fingerprints = [...incident.fingerprints];
    fingerprints.forEach((fingerprint) => this.blame(fingerprint, [crash]));
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
    const told = Promise.allSettled([
      this.announcer.announce(hints),
      this.service.reportCrash(incident.endpoint.name, fingerprints),
    ]);
    await Promise.race([told, this.clock.sleep(this.options.announceTimeoutMs)]);
  }

  private clear(fingerprint: string, crashes: readonly string[]): void {
    const cleared = this.cleared.get(fingerprint) ?? new Set<string>();
    crashes.slice(0, MAX_CRASHES).forEach((crash) => cleared.add(crash));
    this.cleared.set(fingerprint, cleared);
    const record = this.records.get(fingerprint);
    crashes.forEach((crash) => record?.crashes.delete(crash));
    if (record?.crashes.size === 0) {
      this.records.delete(fingerprint);
    }
  }

  private blame(fingerprint: string, crashes: readonly string[]): void {
    const cleared = this.cleared.get(fingerprint);
    const counted = crashes.filter((crash) => !cleared?.has(crash));
    if (counted.length === 0) {
      return;
    }
    const record = this.records.get(fingerprint) ?? { crashes: new Set(), confirmed: false };
    const before = record.crashes.size;
    counted.slice(0, MAX_CRASHES).forEach((crash) => record.crashes.add(crash));
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
