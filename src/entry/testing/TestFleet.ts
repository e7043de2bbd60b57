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

/** Options of a test fleet; `callMs` is the processing time of each call, milliseconds. */
export interface ITestFleetOptions {
  readonly entries: number;
  readonly pool: configTypes.IPool;
  readonly seed: number;
  readonly slots?: number;
  readonly callMs?: commonTypes.Millis;
  readonly overrides?: decisionOptions.DecisionOverrides;
}

/** Result of one request. */
export interface IFleetResult {
  readonly error: requestError.RequestError | undefined;
}

/** Several entry VMs that exchange state and share simulated endpoints, in virtual time, under the invariant checker. */
export class TestFleet implements commonTypes.IDisposable {
  /** Clock of the virtual time. */
  readonly clock = new virtualClock.VirtualClock();

  /** Checks the invariants for every request. */
  readonly checker = new invariantChecker.InvariantChecker();

  /** Simulated network among the entry VMs. */
  readonly network = new memoryExchange.MemoryExchange(this.clock);

  /** The simulated endpoints. */
  readonly endpoints: fakeFleet.FakeFleet;

  /** The simulated platform list. */
  readonly platform: fakePlatform.FakePlatform;

  /** The entry VMs. */
  readonly entries: readonly entryDecisions.IEntryDecisions[];

  private readonly calls = new Map<string, number>();

  /** Creates the entry VMs and connects them as peers. */
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

  /** Runs one request on the entry VM at index `entry`; its body is its id. */
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
      const stageAnswer = await this.entries[entry]?.stageRunner.run(call, request.ctx);
      answer = Buffer.from(stageAnswer?.body ?? []).toString('utf8');
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

  /** Advances the clock in steps of 1 ms until the promise settles, so that the caller continues at that time. */
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

  /** Returns the number of calls that an endpoint started. */
  callsAt(endpoint: string): number {
    return this.calls.get(endpoint) ?? 0;
  }

  /** @inheritdoc */
  dispose(): void {
    this.entries.forEach((entry) => entry.dispose());
  }

  private observeRun(id: string, endpoint: string): void {
    this.calls.set(endpoint, this.callsAt(endpoint) + 1);
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
