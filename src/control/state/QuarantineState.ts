import type * as control from '#wire/control.js';
import * as emitter from '../../common/Emitter.js';
import * as messages from '../../common/wire/Messages.js';
import * as limits from './Limits.js';
import type * as types from './Types.js';

const { LIMITS } = limits;
const CRASHES_TO_QUARANTINE = 2;
/** Reports on one endpoint within this time count as one crash, reported by several entry VMs. */
const SAME_CRASH_WINDOW_MS = 5000;
const MAX_CRASHES_PER_REQUEST = 8;

type CrashReport = messages.Message<control.wire.CrashReport.$Properties>;

/** Requests that were in flight when endpoints crashed: suspect after one crash, quarantined after two. */
export class QuarantineState {
  private readonly requests = new Map<string, types.QuarantinedRequest>();

  /** Time of the last crash by endpoint, in ms. */
  private readonly crashes = new Map<string, number>();

  /** Ids of the newest reports, so that a resent report is not counted again. */
  private readonly reports = new Set<string>();

  private revision = 0;

  private readonly changeEmitter = new emitter.Emitter<void>();

  /** Fires after each change. */
  readonly onChange = this.changeEmitter.event;

  /** Records a crash against the requests that were in flight. Resent reports have no effect. */
  report(req: CrashReport, time: number): void {
    if (req.reportId !== '' && this.reports.has(req.reportId)) {
      return;
    }
    this.rememberReport(req.reportId);
    const last = this.crashes.get(req.endpoint);
    const crash = last !== undefined && time - last < SAME_CRASH_WINDOW_MS ? last : time;
    this.crashes.delete(req.endpoint);
    this.crashes.set(req.endpoint, crash);
    const crashId = `${req.endpoint}@${crash}`;
    req.fingerprints
      .slice(0, LIMITS.fingerprintsPerCrash)
      .forEach((fingerprint) => this.blame(fingerprint, crashId, time));
    this.evict();
    this.changed();
  }

  /** Removes a request from the list; returns false when it is not listed. */
  lift(fingerprint: string): boolean {
    const lifted = this.requests.delete(fingerprint);
    if (lifted) {
      this.changed();
    }
    return lifted;
  }

  /** Removes expired suspects. Quarantined requests do not expire: an operator lifts them. */
  expire(time: number): void {
    const expired = [...this.requests.values()].filter(
      (item) => item.state === 'suspect' && item.time + LIMITS.suspectRetentionMs < time,
    );
    expired.forEach((item) => this.requests.delete(item.fingerprint));
    this.crashes.forEach((crash, endpoint) => {
      if (crash + SAME_CRASH_WINDOW_MS < time) {
        this.crashes.delete(endpoint);
      }
    });
    if (expired.length > 0) {
      this.changed();
    }
  }

  /** The suspects, quarantined requests, crashes and report ids as a message. */
  snapshot(): control.wire.Quarantine.$Properties {
    const requests = [...this.requests.values()].map(messages.asProperties);
    const crashes = [...this.crashes].map(([endpoint, time]) => ({ endpoint, time }));
    return { revision: this.revision, requests, crashes, reports: [...this.reports] };
  }

  /** Replaces the whole state and fires `onChange`. */
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

  private rememberReport(reportId: string): void {
    this.reports.add(reportId);
    const [oldest] = this.reports;
    if (this.reports.size > LIMITS.crashReports && oldest !== undefined) {
      this.reports.delete(oldest);
    }
  }

  private blame(fingerprint: string, crashId: string, time: number): void {
    const known = this.requests.get(fingerprint);
    const endpoints = [...new Set([...(known?.endpoints ?? []), crashId])].slice(
      0,
      MAX_CRASHES_PER_REQUEST,
    );
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
