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

/** Options of a test bench. */
export interface ITestBenchOptions {
  readonly pool: configTypes.IPool;
  readonly seed: number;
  readonly fleet?: Partial<fakeFleet.IFakeFleetOptions>;
  readonly overrides?: decisionOptions.DecisionOverrides;
}

/** Result of one test request; exactly one of `text` and `error` is set. */
export interface ITestResult {
  readonly text: string | undefined;
  readonly error: requestError.RequestError | undefined;
  readonly latency: commonTypes.Millis;
}

/** The request path of one entry VM with simulated endpoints, in virtual time, under the invariant checker. */
export class TestBench implements commonTypes.IDisposable {
  /** Clock of the virtual time. */
  readonly clock = new virtualClock.VirtualClock();

  /** Checks the invariants for every request of this bench. */
  readonly checker = new invariantChecker.InvariantChecker();

  /** Metrics that the request path recorded. */
  readonly metrics = new recordingMetrics.RecordingMetricsService();

  /** The simulated endpoints. */
  readonly fleet: fakeFleet.FakeFleet;

  /** The request path under test. */
  readonly decisions: decisions.IDecisions;

  /** Number of calls that endpoints started, by request id. */
  readonly runs = new Map<string, number>();

  /** Creates the fleet and the request path of one entry VM. */
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

  /** Runs one request without streaming; its body is its id. */
  run(
    request: fixtures.ITestRequestOptions,
    changes: Partial<entryTypes.IStageCall> = {},
  ): Promise<ITestResult> {
    return this.runChecked(request, changes, `answer to ${request.id}`, async (call, ctx) => {
      const answer = await this.decisions.stageRunner.run(call, ctx);
      return Buffer.from(answer.body).toString('utf8');
    });
  }

  /** Runs one streamed request, whose complete answer must be `expected`. */
  stream(
    request: fixtures.ITestRequestOptions,
    expected: string,
    changes: Partial<entryTypes.IStageCall> = {},
  ): Promise<ITestResult> {
    return this.runChecked(request, changes, expected, async (call, ctx) => {
      const stream = await this.decisions.stageRunner.runStream(call, ctx);
      let text = '';
      for await (const chunk of stream.chunks) {
        text += Buffer.from(chunk).toString('utf8');
      }
      return text;
    });
  }

  /** Runs `count` requests in sequence, so that the latency estimates have samples. */
  async warmUp(count: number): Promise<void> {
    for (let index = 0; index < count; index++) {
      const done = this.run({ id: `warm-${index}` });
      await this.clock.advance(25);
      await done;
    }
  }

  /** Returns the value of a counter by its name and tags; 0 when absent. */
  counter(key: string): number {
    return this.metrics.counters.get(key) ?? 0;
  }

  /** @inheritdoc */
  dispose(): void {
    this.decisions.dispose();
  }

  private async runChecked(
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
