import * as requestError from '../../src/common/RequestError.js';
import * as seededRandom from '../../src/common/SeededRandom.js';
import type * as commonTypes from '../../src/common/Types.js';
import * as invariantChecker from '../../src/common/testing/InvariantChecker.js';
import * as virtualClock from '../../src/common/testing/VirtualClock.js';
import * as fakeFleet from '../../src/entry/testing/FakeFleet.js';
import * as fixtures from '../../src/entry/testing/Fixtures.js';
import type * as entryTypes from '../../src/entry/Types.js';
import * as latencyModel from './LatencyModel.js';
import type * as types from './Types.js';

/** Entry VMs before the fleet, behind a balancer that goes round. */
const ENTRIES = 3;
/** First part of a run, in which nothing is counted: both policies learn or fill up. */
const WARM_UP_MS = 10_000;
/** Time after the last arrival for the last patient requests. */
const MAX_DRAIN_MS = 61_000;
const SPAN_HEADER = 'x-bench-span';
const STAGE_HEADER = 'x-bench-stage';
const WORKSPACES = ['w1', 'w2', 'w3'];
const QUEUE_CHECK_MS = 100;
/** Where virtual time starts. */
const START_MS = 1_000_000;
/** The pool whose capacity a load of 1 fills. */
const FULLEST_POOL = 'llm';
/** Attempts of one stage for which the work is drawn in advance, the same for each policy. */
const DRAWN_ATTEMPTS = 4;

interface ITally {
  readonly sent: number;
  readonly inTime: number;
  readonly late: number;
  readonly notRun: number;
  readonly started: number;
}

/** Makes one entry VM's policy over the fleet. */
export type MakePolicy = (
  entry: number,
  client: entryTypes.IEndpointClient,
  clock: commonTypes.IClock,
) => types.IPolicy;

/** One scenario run through one policy in virtual time; arrivals and work are the same for each policy. */
export class Simulation {
  private readonly clock = new virtualClock.VirtualClock();

  private readonly checker = new invariantChecker.InvariantChecker();

  private readonly fleet: fakeFleet.FakeFleet;

  private readonly policies: readonly types.IPolicy[];

  private readonly tallies = new Map<string, ITally>();

  private readonly costs = new Map<string, number>();

  /** Requests that reached an endpoint. */
  private readonly started = new Set<string>();

  private readonly arrivals: seededRandom.SeededRandom;

  private readonly work: latencyModel.LatencyModel;

  private readonly noise: latencyModel.LatencyModel;

  /** Attempts so far by request and stage. */
  private readonly tries = new Map<string, number>();

  private stageCalls = 0;

  private attempts = 0;

  private counting = false;

  /** Work of the fullest pool that went into answers in time, milliseconds. */
  private useful = 0;

  private readonly pending = new Set<Promise<void>>();

  /** Prepares a run of `scenario` through the policy that `makePolicy` makes for each entry VM. */
  constructor(
    private readonly scenario: types.IScenario,
    makePolicy: MakePolicy,
  ) {
    const { seed, deployment } = scenario;
    this.arrivals = new seededRandom.SeededRandom(seed);
    this.work = new latencyModel.LatencyModel(new seededRandom.SeededRandom(seed + 1), 0.3);
    this.noise = new latencyModel.LatencyModel(new seededRandom.SeededRandom(seed + 2), 0.3);
    this.fleet = new fakeFleet.FakeFleet(this.clock, {
      slots: deployment.slots,
      callMs: (call) => this.spanOf(call),
      onRun: (id, endpoint) => this.observeRun(id, endpoint),
    });
    this.policies = Array.from({ length: ENTRIES }, (unused, entry) =>
      makePolicy(entry, this.fleet, this.clock),
    );
    deployment.kinds.forEach((kind) =>
      this.tallies.set(kind.name, { sent: 0, inTime: 0, late: 0, notRun: 0, started: 0 }),
    );
  }

  /** Runs it to the end. */
  async run(): Promise<types.IRunResult> {
    const { kinds } = this.scenario.deployment;
    kinds.forEach((kind) => this.scheduleArrival(kind, 0));
    this.scheduleQueueCheck();
    await this.clock.advance(WARM_UP_MS);
    this.counting = true;
    this.scenario.faults(this.fleet, this.clock);
    await this.clock.advance(this.scenario.durationMs);
    this.counting = false;
    await this.clock.advance(MAX_DRAIN_MS);
    await Promise.all(this.pending);
    this.policies.forEach((policy) => policy.dispose());
    return this.result();
  }

  private get end(): commonTypes.Millis {
    return WARM_UP_MS + this.scenario.durationMs;
  }

  private scheduleArrival(kind: types.IKindModel, count: number): void {
    const meanGap = 1_000 / (kind.rate * this.scenario.load);
    const gap = -Math.log(1 - this.arrivals.next()) * meanGap;
    this.clock.setTimer(gap, () => {
      const task = this.send(kind, count);
      this.pending.add(task);
      void task.finally(() => this.pending.delete(task));
      if (this.clock.monotonic() - START_MS < this.end) {
        this.scheduleArrival(kind, count + 1);
      }
    });
  }

  private async send(kind: types.IKindModel, count: number): Promise<void> {
    const counted = this.counting;
    const id = `${kind.name}-${count}`;
    const spans = kind.stages.map((stage) => this.drawSpans(stage.meanMs));
    const policy = this.policies[count % this.policies.length] as types.IPolicy;
    const request = this.makeRequest(kind, id, count, counted);
    this.checker.expect(id, `answer to ${id}`, request.ctx.deadline);
    const end = await this.follow(kind, policy, request.ctx, spans, counted);
    request.dispose();
    const at = this.clock.monotonic();
    this.checker.observeEnd({ id, at, ...end });
    if (counted) {
      this.count(kind, end, spans, id);
    }
    this.started.delete(id);
  }

  private async follow(
    kind: types.IKindModel,
    policy: types.IPolicy,
    ctx: entryTypes.IRequestContext,
    spans: readonly (readonly commonTypes.Millis[])[],
    counted: boolean,
  ): Promise<{ readonly answer?: string; readonly run?: 'run' | 'not-run' | 'unknown' }> {
    const refs = kind.stages.map(({ stage }) => ({ target: ctx.target, stage }));
    if (policy.runner.forecast(refs, ctx) !== undefined) {
      return { run: 'not-run' };
    }
    let answer = '';
    for (const [index, stage] of kind.stages.entries()) {
      const pool = this.scenario.deployment.pools.find((item) => item.name === stage.pool);
      const call = fixtures.makeCall(pool as NonNullable<typeof pool>, ctx.id, {
        stage: stage.stage,
        headers: {
          [SPAN_HEADER]: (spans[index] ?? []).join(' '),
          [STAGE_HEADER]: `${ctx.id}/${stage.stage}`,
        },
        following: refs.slice(index + 1),
      });
      this.stageCalls += counted ? 1 : 0;
      try {
        const result = await policy.runner.run(call, ctx);
        answer = Buffer.from(result.body).toString('utf8');
      } catch (err) {
        return { run: runStateOf(err, index) };
      }
    }
    return { answer };
  }

  private makeRequest(
    kind: types.IKindModel,
    id: string,
    count: number,
    counted: boolean,
  ): fixtures.ITestRequest {
    return fixtures.makeRequest(this.clock, {
      id,
      target: kind.name,
      patience: kind.patience,
      deadlineMs: kind.deadlineMs,
      workspace: WORKSPACES[count % WORKSPACES.length] as string,
      costs: {
        add: (stage, cost) => {
          if (counted) {
            this.costs.set(stage, (this.costs.get(stage) ?? 0) + cost);
            this.attempts += 1;
          }
        },
      },
    });
  }

  private count(
    kind: types.IKindModel,
    end: { readonly answer?: string; readonly run?: string },
    spans: readonly (readonly commonTypes.Millis[])[],
    id: string,
  ): void {
    const tally = this.tallies.get(kind.name) as ITally;
    const started = this.started.has(id);
    const inTime = end.answer !== undefined;
    this.tallies.set(kind.name, {
      sent: tally.sent + 1,
      started: tally.started + (started ? 1 : 0),
      inTime: tally.inTime + (inTime ? 1 : 0),
      late: tally.late + (!inTime && started ? 1 : 0),
      notRun: tally.notRun + (!inTime && !started ? 1 : 0),
    });
    if (inTime) {
      kind.stages.forEach((stage, index) => {
        this.useful += stage.pool === FULLEST_POOL ? (spans[index]?.[0] ?? 0) : 0;
      });
    }
  }

  /** Work of each attempt of one stage of one request. */
  private drawSpans(meanMs: commonTypes.Millis): readonly commonTypes.Millis[] {
    const base = meanMs * this.work.factor();
    return Array.from({ length: DRAWN_ATTEMPTS }, () => base * this.noise.factor());
  }

  private spanOf(call: entryTypes.IEndpointCall): commonTypes.Millis {
    const key = call.headers[STAGE_HEADER] ?? '';
    const attempt = this.tries.get(key) ?? 0;
    this.tries.set(key, attempt + 1);
    const spans = (call.headers[SPAN_HEADER] ?? '').split(' ').map(Number);
    return spans[attempt % spans.length] ?? 0;
  }

  private observeRun(id: string, endpoint: string): void {
    this.started.add(id);
    this.checker.observeRun(id, endpoint, this.clock.monotonic());
  }

  private scheduleQueueCheck(): void {
    this.clock.setTimer(QUEUE_CHECK_MS, () => {
      this.policies
        .flatMap((policy) => policy.queues())
        .forEach(({ pool, waiting, bound }) => this.checker.observeSize(pool, waiting, bound));
      if (this.clock.monotonic() - START_MS < this.end) {
        this.scheduleQueueCheck();
      }
    });
  }

  private result(): types.IRunResult {
    const { deployment, durationMs } = this.scenario;
    const fullest = deployment.pools.find((pool) => pool.name === FULLEST_POOL);
    const places = (fullest?.endpoints.length ?? 0) * deployment.slots;
    const kinds = deployment.kinds.map((kind) => ({
      kind: kind.name,
      patience: kind.patience,
      ...(this.tallies.get(kind.name) as ITally),
    }));
    return {
      kinds,
      costs: Object.fromEntries(this.costs),
      attempts: this.attempts,
      stageCalls: this.stageCalls,
      goodput: this.useful / (places * durationMs),
      violations: this.checker.violations(),
    };
  }
}

/** A failure after the first stage is one of a request that ran, whatever the stage says of itself. */
function runStateOf(err: unknown, index: number): 'run' | 'not-run' | 'unknown' {
  const run = err instanceof requestError.RequestError ? err.run : 'unknown';
  return index > 0 ? 'run' : run;
}
