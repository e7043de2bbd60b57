import * as vitest from 'vitest';
import * as blame from '../blame/testing/Blame.js';
import type * as batching from '../batching/Types.js';
import * as recordingLog from '../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../common/testing/RecordingMetricsService.js';
import * as virtualClock from '../common/testing/VirtualClock.js';
import * as rateLimitTable from '../ratelimit/RateLimitTable.js';
import * as sharedRateLimiter from '../ratelimit/SharedRateLimiter.js';
import * as endpointDirectory from '../routing/EndpointDirectory.js';
import type * as routing from '../routing/Types.js';
import * as coordinators from './Coordinator.js';
import type * as types from './Types.js';

const { beforeEach, describe, expect, it } = vitest;
const CALL_MS = 100;
const RESULT_LIFE_MS = 4000;
const STAGES: readonly routing.IStage[] = [{ service: 'stage', after: [], resultBytes: 10 }];
const BATCH: routing.IBatchLimits = {
  maxConcurrentCalls: 1,
  maxItemsPerCall: 8,
  callCost: CALL_MS,
  itemCost: 1,
  resultCapacityBytes: 10_000,
  resultRetention: RESULT_LIFE_MS,
};

/** A call to a stage endpoint: a batch of `items`, or the release of results. */
interface IStageCall {
  readonly at: number;
  readonly endpointId: string;
  readonly items: number;
  readonly freed: number;
}

class RecordingStageCaller implements batching.IStageCaller {
  readonly calls: IStageCall[] = [];

  constructor(private readonly clock: virtualClock.VirtualClock) {}

  async run(
    { id }: routing.IEndpoint,
    items: readonly batching.IStageItem[],
  ): Promise<readonly batching.ItemOutcome[]> {
    this.calls.push({
      at: this.clock.monotonic(),
      endpointId: id,
      items: items.length,
      freed: 0,
    });
    await this.clock.sleep(CALL_MS);
    return items.map(({ requestId, segment }) => ({ handle: `${requestId}/${segment}` }));
  }

  async free({ id }: routing.IEndpoint, handles: readonly string[]): Promise<boolean> {
    this.calls.push({
      at: this.clock.monotonic(),
      endpointId: id,
      items: 0,
      freed: handles.length,
    });
    return true;
  }
}

describe('a coordinator before endpoints that name a rate limit', () => {
  let clock: virtualClock.VirtualClock;
  let caller: RecordingStageCaller;
  let table: rateLimitTable.RateLimitTable;
  let coordinator: coordinators.Coordinator;
  let directory: endpointDirectory.EndpointDirectory;
  let placements: { readonly at: number; readonly endpointId: string }[];
  let refusals: { readonly took: number; readonly retryAfter: number }[];
  let serial: number;

  function makeEndpoint(id: string): routing.IEndpoint {
    const service = id.split('-')[0] as string;
    const address = '127.0.0.1:1';
    return { id, service, address, availabilityZone: 'a', slots: 4, draining: false };
  }

  function list(...ids: readonly string[]): void {
    directory.replace({ revision: 1, endpoints: ids.map(makeEndpoint) });
  }

  function name(limit: number | 'none', ...ids: readonly string[]): void {
    const sentAt = clock.monotonic();
    ids.forEach((endpointId) =>
      table.recordStatement({ endpointId, limit, origin: 'answer', sentAt }),
    );
  }

  /** Plans a request; without an id of its own, its engine reads its results at once and takes 50 ms. */
  async function plan(change: Partial<types.IPlanRequest> = {}): Promise<types.PlanOutcome> {
    serial += 1;
    const planId = `r${serial}#1`;
    const started = clock.monotonic();
    const outcome = await coordinator.plan({
      planId,
      requestId: `r${serial}`,
      service: 'engine',
      stages: [],
      pieces: [],
      pieceKey: 'k',
      priority: 0,
      goalLeft: 2000,
      deadlineLeft: 10_000,
      prompt: { parts: [], tokensIn: 10, tokensOut: 10 },
      avoid: [],
      held: [],
      ...change,
    });
    if (outcome.kind === 'ready') {
      placements.push({ at: clock.monotonic(), endpointId: outcome.endpoint.id });
      if (change.planId === undefined) {
        coordinator.markStarted(planId, true);
        clock.setTimer(50, () => coordinator.markEnded(planId));
      }
    } else {
      refusals.push({ took: clock.monotonic() - started, retryAfter: outcome.retryAfter });
    }
    return outcome;
  }

  async function load(
    duration: number,
    interval: number,
    change: Partial<types.IPlanRequest> = {},
  ): Promise<void> {
    for (let time = 0; time < duration; time += interval) {
      void plan(change);
      await clock.advance(interval);
    }
  }

  function placedAt(id: string): readonly number[] {
    return placements.filter(({ endpointId }) => endpointId === id).map(({ at }) => at);
  }

  function expectWithin(limit: number, times: readonly number[]): void {
    times.forEach((end) => {
      const inWindow = times.filter((at) => at <= end && at > end - 4000).length;
      expect(inWindow).toBeLessThanOrEqual(1.5 * 4 * limit + 5);
    });
  }

  beforeEach(() => {
    clock = new virtualClock.VirtualClock();
    caller = new RecordingStageCaller(clock);
    placements = [];
    refusals = [];
    serial = 0;
    const logService = new recordingLog.RecordingLogService();
    const metrics = new recordingMetrics.RecordingMetricsService();
    table = new rateLimitTable.RateLimitTable({ clock, logService, metrics });
    directory = new endpointDirectory.EndpointDirectory();
    coordinator = new coordinators.Coordinator({
      clock,
      caller,
      directory,
      ...blame.makeBlame(clock),
      rateLimiter: new sharedRateLimiter.SharedRateLimiter(table, clock, () => true),
      logService,
      metrics,
    });
    coordinator.configure({
      version: 1,
      routes: [],
      services: new Map<string, routing.IService>([
        ['stage', { name: 'stage', maxConnections: 4, batch: BATCH }],
        [
          'engine',
          { name: 'engine', maxConnections: 4, engine: { slots: 64, cacheTokens: 10_000 } },
        ],
      ]),
      limits: { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 },
    });
    list('engine-a', 'engine-b', 'stage-a', 'stage-b');
  });

  it('places what one engine does not take at the other', async () => {
    name(1, 'engine-a');
    await load(20_000, 100);
    expectWithin(1, placedAt('engine-a'));
    expect(placedAt('engine-a').length).toBeGreaterThanOrEqual(18);
    expect(placements).toHaveLength(200);
  });

  it('uses the rates of engines that all name one, and refuses the rest at once', async () => {
    name(2, 'engine-a', 'engine-b');
    await load(20_000, 50);
    ['engine-a', 'engine-b'].forEach((id) => {
      expectWithin(2, placedAt(id));
      expect(placedAt(id).length).toBeGreaterThanOrEqual(36);
    });
    expect(refusals.length).toBeGreaterThan(250);
    refusals.forEach(({ took }) => expect(took).toBe(0));
  });

  it('places the most urgent of the plans that wait for an engine first', async () => {
    name(2, 'engine-a', 'engine-b');
    const order: string[] = [];
    const track = (label: string, priority: number): void => {
      void plan({ priority }).then((outcome) => order.push(`${label} ${outcome.kind}`));
    };
    track('late', 2);
    track('soon', 1);
    track('first', 0);
    await clock.advance(3000);
    expect(order).toEqual(['first ready', 'soon ready', 'late ready']);
  });

  it('tells a refused caller to come back when the rates of the engines allow it', async () => {
    name(0.5, 'engine-a', 'engine-b');
    for (let count = 0; count < 6; count++) {
      void plan();
    }
    await clock.advance(0);
    const { retryAfter } = refusals.at(-1) as { readonly retryAfter: number };
    await clock.advance(retryAfter);
    const outcome = plan();
    await clock.advance(4000);
    expect(await outcome).toMatchObject({ kind: 'ready' });
  });

  it('sends resumed and reassigned requests within the rate', async () => {
    name(1, 'engine-a', 'engine-b');
    const planTwice = async (planId: string): Promise<void> => {
      const first = await plan({ planId });
      if (first.kind === 'ready') {
        const second = await coordinator.reassign(planId, first.endpoint.id, 'limited');
        if (second.kind === 'ready') {
          placements.push({ at: clock.monotonic(), endpointId: second.endpoint.id });
        }
      }
    };
    for (let time = 0; time < 12_000; time += 400) {
      void planTwice(`twice-${time}`);
      await clock.advance(400);
    }
    expect(placements.length).toBeGreaterThanOrEqual(20);
    ['engine-a', 'engine-b'].forEach((id) => expectWithin(1, placedAt(id)));
  });

  it('calls a stage endpoint, releases included, within the rate, and fills its calls', async () => {
    name(2, 'stage-a');
    list('engine-a', 'stage-a');
    await load(20_000, 100, { stages: STAGES, pieces: [1] });
    const calls = caller.calls.filter(({ endpointId }) => endpointId === 'stage-a');
    expectWithin(
      2,
      calls.map(({ at }) => at),
    );
    expect(calls.length).toBeGreaterThanOrEqual(36);
    // One call for each item would serve 40 of 200 requests at most.
    expect(placements.length).toBeGreaterThan(100);
    refusals.forEach(({ took }) => expect(took).toBeLessThan(2000));
  });

  it('uses a stage endpoint fully again once its limit is lifted', async () => {
    name(1, 'stage-a');
    list('engine-a', 'stage-a');
    await load(4000, 100, { stages: STAGES, pieces: [1] });
    name('none', 'stage-a');
    await load(4000, 100, { stages: STAGES, pieces: [1] });
    const before = placements.length;
    await load(4000, 100, { stages: STAGES, pieces: [1] });
    expect(placements.length - before).toBeGreaterThanOrEqual(38);
  });

  it('drops the release of results that expire before the rate allows the call', async () => {
    name(0.1, 'stage-a');
    coordinator.freeResults([
      { stage: 0, segment: 0, handle: 'h1', maker: 'stage-a', life: 1000 },
      { stage: 0, segment: 1, handle: 'h2', maker: 'stage-b', life: 1000 },
    ]);
    await clock.advance(30_000);
    expect(caller.calls.map(({ endpointId }) => endpointId)).toEqual(['stage-b']);
  });
});
