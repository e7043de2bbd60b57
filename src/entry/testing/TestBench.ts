import * as requestError from '../../common/RequestError.js';
import * as seededRandom from '../../common/SeededRandom.js';
import type * as commonTypes from '../../common/Types.js';
import * as invariantChecker from '../../common/testing/InvariantChecker.js';
import * as recordingLog from '../../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../../common/testing/RecordingMetricsService.js';
import * as virtualClock from '../../common/testing/VirtualClock.js';
import type * as configTypes from '../../config/Types.js';
import type * as decisionOptions from '../DecisionOptions.js';
import * as decisions from '../Decisions.js';
import type * as entryServices from '../services/Services.js';
import type * as entryTypes from '../Types.js';
import * as fakeFleet from './FakeFleet.js';
import * as fixtures from './Fixtures.js';

const NO_QUARANTINE: entryServices.IQuarantineService = {
  isQuarantined: () => false,
  isSuspect: () => false,
  reportCrash: () => Promise.resolve(),
};

/** What a test bench is made of. */
export interface ITestBenchOptions {
  readonly pool: configTypes.IPool;
  readonly seed: number;
  readonly fleet?: Partial<fakeFleet.IFakeFleetOptions>;
  readonly overrides?: decisionOptions.DecisionOverrides;
}

/** How one request of a test ended. */
export interface ITestResult {
  readonly text: string | undefined;
  readonly error: requestError.RequestError | undefined;
  readonly latency: commonTypes.Millis;
}

/** One entry VM's decisions over a fake fleet in virtual time, under the invariant checker. */
export class TestBench implements commonTypes.IDisposable {
  /** Virtual time. */
  readonly clock = new virtualClock.VirtualClock();

  /** Checks every request of this bench. */
  readonly checker = new invariantChecker.InvariantChecker();

  /** Counters of the decisions. */
  readonly metrics = new recordingMetrics.RecordingMetricsService();

  /** The endpoints. */
  readonly fleet: fakeFleet.FakeFleet;

  /** The decisions under test. */
  readonly decisions: decisions.IDecisions;

  /** Calls that reached endpoints, by request. */
  readonly runs = new Map<string, number>();

  /** Builds the decisions of one entry VM over a fleet. */
  constructor(private readonly options: ITestBenchOptions) {
    this.fleet = new fakeFleet.FakeFleet(this.clock, {
      slots: 4,
      callMs: () => 20,
      ...options.fleet,
      onRun: (body, endpoint) => {
        this.runs.set(body, (this.runs.get(body) ?? 0) + 1);
        this.checker.observeRun(body, endpoint, this.clock.monotonic());
      },
    });
    this.decisions = decisions.createDecisions(
      { id: 'entry-1', zone: 'a' },
      options.overrides ?? {},
      {
        clock: this.clock,
        random: new seededRandom.SeededRandom(options.seed),
        log: new recordingLog.RecordingLogService(),
        metrics: this.metrics,
        endpointClient: this.fleet,
        quarantine: NO_QUARANTINE,
      },
    );
    this.decisions.updateConfiguration(fixtures.makeConfiguration([options.pool]));
  }

  /** Runs one whole request; its body is its id. */
  run(
    request: fixtures.ITestRequestOptions,
    changes: Partial<entryTypes.IStageCall> = {},
  ): Promise<ITestResult> {
    return this.follow(request, changes, `answer to ${request.id}`, async (call, ctx) => {
      const answer = await this.decisions.stageRunner.run(call, ctx);
      return Buffer.from(answer.body).toString('utf8');
    });
  }

  /** Runs one streamed request; its whole answer is `expected`. */
  stream(
    request: fixtures.ITestRequestOptions,
    expected: string,
    changes: Partial<entryTypes.IStageCall> = {},
  ): Promise<ITestResult> {
    return this.follow(request, changes, expected, async (call, ctx) => {
      const stream = await this.decisions.stageRunner.runStream(call, ctx);
      let text = '';
      for await (const chunk of stream.chunks) {
        text += Buffer.from(chunk).toString('utf8');
      }
      return text;
    });
  }

  /** Runs `count` requests one after another, so that latencies are learnt. */
  async warmUp(count: number): Promise<void> {
    for (let index = 0; index < count; index++) {
      const done = this.run({ id: `warm-${index}` });
      await this.clock.advance(25);
      await done;
    }
  }

  /** Counter of the decisions by its name and tags. */
  counter(key: string): number {
    return this.metrics.counters.get(key) ?? 0;
  }

  /** @inheritdoc */
  dispose(): void {
    this.decisions.dispose();
  }

  private async follow(
    options: fixtures.ITestRequestOptions,
    changes: Partial<entryTypes.IStageCall>,
    expected: string,
    work: (call: entryTypes.IStageCall, ctx: entryTypes.IRequestContext) => Promise<string>,
  ): Promise<ITestResult> {
    const request = fixtures.makeRequest(this.clock, options);
    const call = fixtures.makeCall(this.options.pool, options.id, changes);
    const { arrived, deadline } = request.ctx;
    this.checker.expect(options.id, expected, deadline, !call.repeatable);
    let text: string | undefined;
    let error: requestError.RequestError | undefined;
    try {
      text = await work(call, request.ctx);
    } catch (err) {
      error = toRequestError(err);
    }
    request.dispose();
    const at = this.clock.monotonic();
    this.checker.observeEnd({
      id: options.id,
      at,
      ...(text === undefined ? {} : { answer: text }),
      ...(error ? { run: error.run } : {}),
    });
    return { text, error, latency: at - arrived };
  }
}

function toRequestError(err: unknown): requestError.RequestError {
  if (err instanceof requestError.RequestError) {
    return err;
  }
  throw err;
}
