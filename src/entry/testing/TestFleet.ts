import * as requestError from '../../common/RequestError.js';
import * as seededRandom from '../../common/SeededRandom.js';
import type * as commonTypes from '../../common/Types.js';
import * as invariantChecker from '../../common/testing/InvariantChecker.js';
import * as recordingLog from '../../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../../common/testing/RecordingMetricsService.js';
import * as virtualClock from '../../common/testing/VirtualClock.js';
import type * as configTypes from '../../config/Types.js';
import * as memoryExchange from '../../membership/testing/MemoryExchange.js';
import type * as decisionOptions from '../DecisionOptions.js';
import * as entryDecisions from '../EntryDecisions.js';
import type * as entryTypes from '../Types.js';
import * as fakeFleet from './FakeFleet.js';
import * as fakePlatform from './FakePlatform.js';
import * as fixtures from './Fixtures.js';

const STEP_MS = 1;

/** What a fleet is made of. */
export interface ITestFleetOptions {
  readonly entries: number;
  readonly pool: configTypes.IPool;
  readonly seed: number;
  readonly slots?: number;
  readonly callMs?: commonTypes.Millis;
  readonly overrides?: decisionOptions.DecisionOverrides;
}

/** How one request ended. */
export interface IFleetResult {
  readonly error: requestError.RequestError | undefined;
}

/** Several entry VMs with their exchange over one fake fleet, in virtual time, under the checker. */
export class TestFleet implements commonTypes.IDisposable {
  /** Virtual time. */
  readonly clock = new virtualClock.VirtualClock();

  /** Checks every request. */
  readonly checker = new invariantChecker.InvariantChecker();

  /** The network among the entry VMs. */
  readonly network = new memoryExchange.MemoryExchange(this.clock);

  /** The endpoints. */
  readonly endpoints: fakeFleet.FakeFleet;

  /** The platform's list. */
  readonly platform: fakePlatform.FakePlatform;

  /** The entry VMs. */
  readonly entries: readonly entryDecisions.IEntryDecisions[];

  private readonly runs = new Map<string, number>();

  /** Starts the entry VMs. */
  constructor(private readonly options: ITestFleetOptions) {
    const { pool, slots = 4, callMs = 20 } = options;
    this.platform = new fakePlatform.FakePlatform(this.clock, pool.endpoints);
    this.endpoints = new fakeFleet.FakeFleet(this.clock, {
      slots,
      callMs: () => callMs,
      onRun: (id, endpoint) => this.observeRun(id, endpoint),
    });
    this.entries = Array.from({ length: options.entries }, (unused, index) =>
      this.createEntry(index),
    );
    const peers = this.entries.map((unused, index) => ({ id: `entry-${index}`, address: '' }));
    this.entries.forEach((entry) => entry.updatePeers(peers));
  }

  /** Runs one request through one entry VM; its body is its id. */
  async run(
    entry: number,
    options: fixtures.ITestRequestOptions,
    changes: Partial<entryTypes.IStageCall> = {},
  ): Promise<IFleetResult> {
    const request = fixtures.makeRequest(this.clock, options);
    const { id } = options;
    const call = fixtures.makeCall(this.options.pool, id, changes);
    this.checker.expect(id, `answer to ${id}`, request.ctx.deadline, !call.repeatable);
    let answer: string | undefined;
    let error: requestError.RequestError | undefined;
    try {
      const found = await this.entries[entry]?.stageRunner.run(call, request.ctx);
      answer = Buffer.from(found?.body ?? []).toString('utf8');
    } catch (err) {
      if (!(err instanceof requestError.RequestError)) {
        throw err;
      }
      error = err;
    }
    request.dispose();
    this.checker.observeEnd({
      id,
      at: this.clock.monotonic(),
      ...(answer === undefined ? {} : { answer }),
      ...(error ? { run: error.run } : {}),
    });
    return { error };
  }

  /** Moves time on until the promise settles, and no further: the caller comes back at once. */
  async advanceUntil<T>(promise: Promise<T>): Promise<T> {
    let settled = false;
    const done = promise.finally(() => {
      settled = true;
    });
    while (!settled) {
      await this.clock.advance(STEP_MS);
    }
    return done;
  }

  /** Calls that an endpoint got. */
  callsAt(endpoint: string): number {
    return this.runs.get(endpoint) ?? 0;
  }

  /** @inheritdoc */
  dispose(): void {
    this.entries.forEach((entry) => entry.dispose());
  }

  private observeRun(id: string, endpoint: string): void {
    this.runs.set(endpoint, this.callsAt(endpoint) + 1);
    this.checker.observeRun(id, endpoint, this.clock.monotonic());
  }

  private createEntry(index: number): entryDecisions.IEntryDecisions {
    const id = `entry-${index}`;
    const zone = index % 2 === 0 ? 'a' : 'b';
    const entry = entryDecisions.createEntryDecisions({ id, zone }, this.options.overrides ?? {}, {
      clock: this.clock,
      random: new seededRandom.SeededRandom(this.options.seed + index),
      log: new recordingLog.RecordingLogService(),
      metrics: new recordingMetrics.RecordingMetricsService(),
      endpointClient: this.endpoints,
      quarantine: {
        isQuarantined: () => false,
        isSuspect: () => false,
        reportCrash: () => Promise.resolve(),
      },
      transport: this.network.transport(id),
      listClient: this.platform,
      configVersion: () => 1,
      onPeerVersion: () => {},
    });
    entry.updateConfiguration(fixtures.makeConfiguration([this.options.pool]));
    return entry;
  }
}
