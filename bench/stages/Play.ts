import * as blame from '../../src/blame/testing/Blame.js';
import type * as batching from '../../src/batching/Types.js';
import * as seededRandom from '../../src/common/SeededRandom.js';
import * as recordingLog from '../../src/common/testing/RecordingLogService.js';
import * as recordingMetrics from '../../src/common/testing/RecordingMetricsService.js';
import * as virtualClock from '../../src/common/testing/VirtualClock.js';
import * as coordinators from '../../src/coordination/Coordinator.js';
import type * as coordination from '../../src/coordination/Types.js';
import * as endpointDirectory from '../../src/routing/EndpointDirectory.js';
import * as unlimitedRateLimiter from '../../src/ratelimit/testing/UnlimitedRateLimiter.js';
import type * as routing from '../../src/routing/Types.js';
import * as simulatedStages from './SimulatedStages.js';
import type * as types from './Types.js';

/** Name of the engines' service. */
const ENGINES = 'engines';
/** Tokens that an engine reads in a millisecond. */
const TOKENS_PER_MS = 50;
const FIRST_TOKEN_MS = 20;
const HOP_MS = 2;
/** Requests that arrive together. */
const CLUMP = 3;
/** Arrivals are drawn for this span at a time. */
const STEP_MS = 10;

interface ITally {
  asked: number;
  inTime: number;
  late: number;
  refusedAtOnce: number;
  refusedLater: number;
  refusedAgain: number;
}

/** Makes the planner that is played, from the stages that it calls and the endpoints. */
export type PlannerMaker = (
  stages: batching.IStageCaller,
  directory: endpointDirectory.EndpointDirectory,
  clock: virtualClock.VirtualClock,
  table: routing.IRoutingTable,
) => coordination.IPlanner;

/** The product's coordinator. */
export function makeCoordinator(
  caller: batching.IStageCaller,
  directory: endpointDirectory.EndpointDirectory,
  clock: virtualClock.VirtualClock,
  table: routing.IRoutingTable,
): coordination.IPlanner {
  const coordinator = new coordinators.Coordinator({
    clock,
    caller,
    directory,
    ...blame.makeBlame(clock),
    rateLimiter: new unlimitedRateLimiter.UnlimitedRateLimiter(),
    logService: new recordingLog.RecordingLogService(),
    metrics: new recordingMetrics.RecordingMetricsService(),
  });
  coordinator.configure(table);
  return coordinator;
}

/** One play of a scenario with one seed in virtual time. */
export class Play {
  private readonly clock = new virtualClock.VirtualClock();

  private readonly random: seededRandom.SeededRandom;

  private readonly stages: simulatedStages.SimulatedStages;

  private readonly planner: coordination.IPlanner;

  private readonly tallies: Map<string, ITally>;

  private readonly kinds = new Map<string, types.IKind>();

  private serial = 0;

  /** Prepares `scenario` for the planner that `make` gives. */
  constructor(
    private readonly scenario: types.IScenario,
    seed: number,
    make: PlannerMaker,
  ) {
    this.random = new seededRandom.SeededRandom(seed);
    const { clock } = this;
    this.stages = new simulatedStages.SimulatedStages(scenario, clock, (item) => {
      const kind = this.kinds.get(item.requestId) as types.IKind;
      const { work } = kind.items[item.stage] as types.IItemDraw;
      return { work, bytes: (kind.stages[item.stage] as routing.IStage).resultBytes };
    });
    const directory = new endpointDirectory.EndpointDirectory();
    const table = tableOf(scenario);
    this.planner = make(this.stages, directory, clock, table);
    directory.replace({ revision: 1, endpoints: endpointsOf(scenario) });
    this.tallies = new Map(
      scenario.kinds.map(({ name }) => [
        name,
        { asked: 0, inTime: 0, late: 0, refusedAtOnce: 0, refusedLater: 0, refusedAgain: 0 },
      ]),
    );
  }

  /** Plays to the end. */
  async run(): Promise<types.IPlayResult> {
    const { scenario, clock } = this;
    for (let time = 0; time < scenario.lengthMs; time += STEP_MS) {
      scenario.kinds.forEach((kind) => this.arrive(kind, time));
      await clock.advance(STEP_MS);
    }
    await clock.advance(Math.max(...scenario.kinds.map((kind) => kind.deadlineMs)));
    return this.result();
  }

  private arrive(kind: types.IKind, time: number): void {
    const factor = this.scenario.bursts
      .filter((burst) => burst.kind === undefined || burst.kind === kind.name)
      .filter((burst) => time >= burst.fromMs && time < burst.untilMs)
      .reduce((product, burst) => product * burst.factor, 1);
    const mean = (kind.perSecond * factor * STEP_MS) / 1000 / CLUMP;
    if (this.random.next() < mean) {
      for (let count = 0; count < CLUMP; count++) {
        void this.request(kind);
      }
    }
  }

  /** A caller: it comes back once, when it is told to. */
  private async request(kind: types.IKind): Promise<void> {
    const tally = this.tallies.get(kind.name) as ITally;
    const started = this.clock.monotonic();
    tally.asked += 1;
    const plan = this.planOf(kind);
    const retryAfter = await this.attempt(kind, plan, started);
    if (retryAfter === undefined) {
      return;
    }
    await this.clock.sleep(retryAfter + HOP_MS);
    const left = kind.deadlineMs - (this.clock.monotonic() - started);
    if (left > 0 && (await this.attempt(kind, plan, started)) !== undefined) {
      tally.refusedAgain += 1;
    }
  }

  /** One attempt; resolves with the time after which to come back when it was refused. */
  private async attempt(
    kind: types.IKind,
    plan: Omit<coordination.IPlanRequest, 'planId' | 'requestId' | 'goalLeft' | 'deadlineLeft'>,
    started: number,
  ): Promise<number | undefined> {
    const { clock, planner } = this;
    const tally = this.tallies.get(kind.name) as ITally;
    const came = clock.monotonic();
    this.serial += 1;
    const id = `${kind.name}-${this.serial}`;
    this.kinds.set(id, kind);
    const outcome = await planner.plan({
      ...plan,
      planId: id,
      requestId: id,
      goalLeft: kind.goalMs,
      deadlineLeft: kind.deadlineMs - (came - started),
    });
    if (outcome.kind === 'refused') {
      const atOnce = clock.monotonic() - came <= kind.goalMs / 8;
      tally[atOnce ? 'refusedAtOnce' : 'refusedLater'] += 1;
      return outcome.retryAfter;
    }
    await clock.sleep(HOP_MS);
    if (!this.stages.use(outcome.inputs, outcome.endpoint.availabilityZone)) {
      tally.refusedLater += 1;
      planner.markEnded(id);
      return undefined;
    }
    await clock.sleep(FIRST_TOKEN_MS + kind.tokens / TOKENS_PER_MS);
    planner.markStarted(id, true);
    const took = clock.monotonic() - started;
    if (took <= kind.deadlineMs) {
      tally[took <= kind.goalMs ? 'inTime' : 'late'] += 1;
    }
    await clock.sleep(kind.runMs);
    planner.markEnded(id);
    return undefined;
  }

  private planOf(
    kind: types.IKind,
  ): Omit<coordination.IPlanRequest, 'planId' | 'requestId' | 'goalLeft' | 'deadlineLeft'> {
    const subject = this.random.nextInt(kind.subjects);
    const id = `${kind.name}-${this.serial}-own`;
    const parts = [
      { id: `${kind.name}-s${subject}`, tokens: kind.sharedTokens },
      { id, tokens: kind.tokens - kind.sharedTokens },
    ];
    return {
      fingerprint: id,
      service: ENGINES,
      stages: kind.stages,
      pieces: kind.items.map((draw) => this.drawItems(draw)),
      pieceKey: id,
      priority: this.drawPriority(kind),
      prompt: { parts, tokensIn: kind.tokens, tokensOut: 300 },
      avoid: [],
      held: [],
    };
  }

  private drawPriority(kind: types.IKind): number {
    const { workspaces = [] } = this.scenario;
    if (workspaces.length === 0) {
      return kind.priority;
    }
    let left = this.random.next();
    const drawn = workspaces.find(({ share }) => {
      left -= share;
      return left < 0;
    });
    return drawn?.priority ?? kind.priority;
  }

  private drawItems(draw: types.IItemDraw): number {
    if (this.random.next() >= draw.share) {
      return 0;
    }
    // The sum of three draws comes near enough to a normal one.
    const noise = this.random.next() + this.random.next() + this.random.next() - 1.5;
    const count = Math.round(draw.mean * (1 + 2 * noise * draw.spread));
    return Math.min(draw.max, Math.max(1, count));
  }

  private result(): types.IPlayResult {
    const kinds = this.scenario.kinds.map((kind) => {
      const tally = this.tallies.get(kind.name) as ITally;
      const credit = tally.inTime * kind.worth + tally.late * kind.lateWorth;
      return { kind: kind.name, ...tally, credit, owed: tally.asked * kind.worth };
    });
    const owed = kinds.reduce((sum, kind) => sum + kind.owed, 0);
    const credit = kinds.reduce((sum, kind) => sum + kind.credit, 0);
    const { calls, items, full, noRoom, gone, busyMs, usedMs, movedBytes, crossedBytes } =
      this.stages.counts;
    return {
      kinds,
      share: credit / owed,
      wasted: Math.max(0, 1 - usedMs / Math.max(1, busyMs)),
      items,
      crossing: crossedBytes / Math.max(1, movedBytes),
      noRoom,
      gone,
      full: full / Math.max(1, calls),
    };
  }
}

function endpointsOf(scenario: types.IScenario): readonly routing.IEndpoint[] {
  const make = (service: string, count: number, slots: number): routing.IEndpoint[] =>
    Array.from({ length: count }, (_, at) => ({
      id: `${service}-${at}`,
      service,
      address: `127.0.0.1:${at}`,
      availabilityZone: `zone-${at % scenario.zones}`,
      slots,
      draining: false,
    }));
  return [
    ...scenario.services.flatMap(({ name, endpoints }) => make(name, endpoints, 1)),
    ...make(ENGINES, scenario.engines, 64),
  ];
}

function tableOf(scenario: types.IScenario): routing.IRoutingTable {
  const stages = scenario.services.map(({ name, limits }): [string, routing.IService] => [
    name,
    { name, maxConnections: 100, batch: limits },
  ]);
  const engine = { slots: 64, cacheTokens: 500_000 };
  const limits = { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 };
  const services = new Map([
    ...stages,
    [ENGINES, { name: ENGINES, maxConnections: 100, engine }] as [string, routing.IService],
  ]);
  return { version: 1, routes: [], services, limits };
}
