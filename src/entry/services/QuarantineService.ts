import * as crypto from 'node:crypto';
import type * as commonTypes from '../../common/Types.js';
import type * as controlClient from '../../control/client/ControlClient.js';
import * as limits from '../../control/state/Limits.js';
import type * as controlFeed from './ControlFeed.js';
import type * as outbox from './Outbox.js';
import type * as services from './Services.js';

const REPORT_TIMEOUT_MS = 5000;
/** Maximum local suspects that are not yet in the list of the control group. */
const MAX_LOCAL_SUSPECTS = 1000;

/** The quarantine list of the control group, combined with the crash reports of this VM. */
export class QuarantineService implements services.IQuarantineService, commonTypes.IDisposable {
  private quarantined: ReadonlySet<string> = new Set();

  private suspects: ReadonlySet<string> = new Set();

  /** Suspects reported by this VM that are not yet in the list of the control group. */
  private readonly localSuspects = new Set<string>();

  private readonly subscription: commonTypes.IDisposable;

  /** Takes the list from `feed`; `unsent` retries crash reports that could not be sent. */
  constructor(
    private readonly client: controlClient.ControlClient,
    private readonly unsent: outbox.Outbox,
    feed: controlFeed.ControlFeed,
  ) {
    this.subscription = feed.onUpdate((update) => this.update(update));
  }

  /** @inheritdoc */
  isQuarantined(fingerprint: string): boolean {
    return this.quarantined.has(fingerprint);
  }

  /** @inheritdoc */
  isSuspect(fingerprint: string): boolean {
    return this.suspects.has(fingerprint) || this.localSuspects.has(fingerprint);
  }

  /** @inheritdoc */
  async reportCrash(endpoint: string, fingerprints: readonly string[]): Promise<void> {
    fingerprints.forEach((fingerprint) => this.addLocalSuspect(fingerprint));
    const bounded = fingerprints.slice(0, limits.LIMITS.fingerprintsPerCrash);
    const crashReport = { endpoint, reportId: crypto.randomUUID(), fingerprints: bounded };
    const send = async (): Promise<void> => {
      await this.client.execute({ crashReport }, { timeout: REPORT_TIMEOUT_MS });
    };
    try {
      await send();
    } catch {
      this.unsent.add(send);
    }
  }

  /** @inheritdoc */
  dispose(): void {
    this.subscription.dispose();
  }

  private addLocalSuspect(fingerprint: string): void {
    this.localSuspects.add(fingerprint);
    const [oldest] = this.localSuspects;
    if (this.localSuspects.size > MAX_LOCAL_SUSPECTS && oldest !== undefined) {
      this.localSuspects.delete(oldest);
    }
  }

  private update(update: controlFeed.Update): void {
    const { quarantine } = update;
    if (quarantine === null) {
      return;
    }
    const inState = (state: string): ReadonlySet<string> =>
      new Set(
        quarantine.requests
          .filter((item) => item.state === state)
          .map(({ fingerprint }) => fingerprint),
      );
    this.quarantined = inState('quarantined');
    this.suspects = inState('suspect');
    // The list of the group now covers these suspects, including when an operator lifts them.
    [...this.quarantined, ...this.suspects].forEach((item) => this.localSuspects.delete(item));
  }
}
