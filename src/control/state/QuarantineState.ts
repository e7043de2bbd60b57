import type * as control from '#wire/control.js';
import * as emitter from '../../common/Emitter.js';
import * as messages from '../../common/wire/Messages.js';
import * as limits from './Limits.js';
import type * as types from './Types.js';

const { LIMITS } = limits;
const CRASHES_TO_QUARANTINE = 2;
/** Reports on one endpoint within this time are of one crash, seen by several entry VMs. */
const SAME_CRASH_MS = 5000;
const ENDPOINTS_KEPT = 8;

type CrashReport = messages.Message<control.wire.CrashReport.$Properties>;

/** Requests that were in flight when endpoints crashed: one crash makes a suspect, a second quarantines. */
export class QuarantineState {
  private readonly requests = new Map<string, types.QuarantinedRequest>();

  /** Last crash of each endpoint. */
  private readonly crashes = new Map<string, number>();

  /** Ids of the newest reports, so that a resend blames nobody again. */
  private readonly reports = new Set<string>();

  private revision = 0;

  private readonly changeEmitter = new emitter.Emitter<void>();

  /** Fires after each change. */
  readonly onChange = this.changeEmitter.event;

  /** Blames the requests that were in flight at a crash. */
  report(req: CrashReport, time: number): void {
    if (req.reportId !== '' && this.reports.has(req.reportId)) {
      return;
    }
    this.remember(req.reportId);
    const last = this.crashes.get(req.endpoint);
    const crash = last !== undefined && time - last < SAME_CRASH_MS ? last : time;
    this.crashes.delete(req.endpoint);
    this.crashes.set(req.endpoint, crash);
    const crashId = `${req.endpoint}@${crash}`;
    req.fingerprints
      .slice(0, LIMITS.fingerprintsPerCrash)
      .forEach((fingerprint) => this.blame(fingerprint, crashId, time));
    this.evict();
    this.changed();
  }

  /** Takes a request off the list; false when it was not on it. */
  lift(fingerprint: string): boolean {
    const lifted = this.requests.delete(fingerprint);
    if (lifted) {
      this.changed();
    }
    return lifted;
  }

  /** Forgets old suspects; a quarantine ends by an operator's word alone. */
  expire(time: number): void {
    const old = [...this.requests.values()].filter(
      (item) => item.state === 'suspect' && item.time + LIMITS.suspectRetentionMs < time,
    );
    old.forEach((item) => this.requests.delete(item.fingerprint));
    this.crashes.forEach((crash, endpoint) => {
      if (crash + SAME_CRASH_MS < time) {
        this.crashes.delete(endpoint);
      }
    });
    if (old.length > 0) {
      this.changed();
    }
  }

  /** The whole list as a message. */
  snapshot(): control.wire.Quarantine.$Properties {
    const requests = [...this.requests.values()].map(messages.asProperties);
    const crashes = [...this.crashes].map(([endpoint, time]) => ({ endpoint, time }));
    return { revision: this.revision, requests, crashes, reports: [...this.reports] };
  }

  /** Replaces the whole list. */
  restore(state: messages.Message<control.wire.Quarantine.$Properties> | null): void {
    this.requests.clear();
    this.crashes.clear();
    state?.requests.forEach((item) => this.requests.set(item.fingerprint, item));
    state?.crashes.forEach(({ endpoint, time }) => this.crashes.set(endpoint, time));
    this.reports.clear();
    state?.reports.forEach((id) => this.reports.add(id));
    this.revision = state?.revision ?? 0;
    this.changeEmitter.fire();
  }

  private remember(reportId: string): void {
    this.reports.add(reportId);
    const [oldest] = this.reports;
    if (this.reports.size > LIMITS.crashReports && oldest !== undefined) {
      this.reports.delete(oldest);
    }
  }

  private blame(fingerprint: string, crashId: string, time: number): void {
    const known = this.requests.get(fingerprint);
    const endpoints = [...new Set([...(known?.endpoints ?? []), crashId])].slice(0, ENDPOINTS_KEPT);
    const state = endpoints.length >= CRASHES_TO_QUARANTINE ? 'quarantined' : 'suspect';
    this.requests.delete(fingerprint);
    this.requests.set(fingerprint, { fingerprint, state, time, endpoints });
  }

  private evict(): void {
    this.evictOver('suspect', LIMITS.suspects);
    this.evictOver('quarantined', LIMITS.quarantined);
  }

  private evictOver(state: string, limit: number): void {
    const items = [...this.requests.values()].filter((item) => item.state === state);
    items
      .slice(0, Math.max(0, items.length - limit))
      .forEach((item) => this.requests.delete(item.fingerprint));
  }

  private changed(): void {
    this.revision += 1;
    this.changeEmitter.fire();
  }
}
