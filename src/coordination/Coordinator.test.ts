import * as vitest from 'vitest';
import * as blame from '../blame/testing/Blame.js';
import type * as batching from '../batching/Types.js';
import * as manualClock from '../common/testing/ManualClock.js';
import * as recordingLog from '../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../common/testing/RecordingMetricsService.js';
import * as unlimitedRateLimiter from '../ratelimit/testing/UnlimitedRateLimiter.js';
import * as endpointDirectory from '../routing/EndpointDirectory.js';
import type * as routing from '../routing/Types.js';
import * as coordinators from './Coordinator.js';
import type * as types from './Types.js';

const { beforeEach, describe, expect, it } = vitest;
const CALL_MS = 100;
const RESULT_LIFE_MS = 4000;
/** Time after which results that are not needed are freed with one call for each endpoint. */
const FREE_BATCH_MS = 8;
const STAGES: readonly routing.IStage[] = [
  { service: 'stage', after: [], resultBytes: 10 },
  { service: 'stage', after: [0], resultBytes: 10 },
];

/** Simulates stage endpoints, and records the handles of the results they produce and free. */
class RecordingStageCaller implements batching.IStageCaller {
  readonly producedHandles: string[] = [];

  readonly freedHandles: string[] = [];

  constructor(private readonly clock: manualClock.ManualClock) {}

  async run(
    endpoint: routing.IEndpoint,
    items: readonly batching.IStageItem[],
  ): Promise<readonly batching.ItemOutcome[]> {
    await this.clock.sleep(CALL_MS);
    return items.map(({ requestId, stage, segment }) => {
      const handle = `${requestId}/${stage}/${segment}`;
      this.producedHandles.push(handle);
      return { handle };
    });
  }

  async free(endpoint: routing.IEndpoint, handles: readonly string[]): Promise<boolean> {
    this.freedHandles.push(...handles);
    return true;
  }
}

function makeEndpoint(id: string, service: string): routing.IEndpoint {
  const address = '127.0.0.1:1';
  return { id, service, address, availabilityZone: 'a', slots: 4, draining: false };
}

function makePlanRequest(change: Partial<types.IPlanRequest> = {}): types.IPlanRequest {
  return {
    planId: 'r#1',
    requestId: 'r',
    service: 'engine',
    stages: STAGES,
    pieces: [2, 1],
    pieceKey: 'k',
    priority: 0,
    goalLeft: 3000,
    deadlineLeft: 10_000,
    prompt: { parts: [], tokensIn: 10, tokensOut: 10 },
    avoid: [],
    held: [],
    ...change,
  };
}

describe('the handover between coordinators', () => {
  let clock = new manualClock.ManualClock();
  let caller = new RecordingStageCaller(clock);

  function makeCoordinator(): coordinators.Coordinator {
    const directory = new endpointDirectory.EndpointDirectory();
    const coordinator = new coordinators.Coordinator({
      clock,
      caller,
      directory,
      ...blame.makeBlame(clock),
      rateLimiter: new unlimitedRateLimiter.UnlimitedRateLimiter(),
      logService: new recordingLog.RecordingLogService(),
      metrics: new recordingMetrics.RecordingMetricsService(),
    });
    const batch = {
      maxConcurrentCalls: 1,
      maxItemsPerCall: 8,
      callCost: CALL_MS,
      itemCost: 1,
      resultCapacityBytes: 1000,
      resultRetention: RESULT_LIFE_MS,
    };
    const services = new Map<string, routing.IService>([
      ['stage', { name: 'stage', maxConnections: 4, batch }],
      ['engine', { name: 'engine', maxConnections: 4, engine: { slots: 4, cacheTokens: 1000 } }],
    ]);
    const limits = { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 };
    coordinator.configure({ version: 1, routes: [], services, limits });
    const endpoints = [makeEndpoint('s1', 'stage'), makeEndpoint('e1', 'engine')];
    directory.replace({ revision: 1, endpoints });
    return coordinator;
  }

  beforeEach(() => {
    clock = new manualClock.ManualClock();
    caller = new RecordingStageCaller(clock);
  });

  it('does not repeat items whose results the lost coordinator had reported', async () => {
    const records: batching.IResultRecord[] = [];
    const first = makeCoordinator();
    void first.plan(makePlanRequest(), (record) => records.push(record));
    await clock.advance(CALL_MS + 20);
    expect(records.map(({ handle }) => handle)).toEqual(['r/0/0', 'r/0/1']);
    first.abandonAll();
    const planned = makeCoordinator().plan(makePlanRequest({ planId: 'r#2', held: records }));
    await clock.advance(CALL_MS + 20);
    expect(await planned).toMatchObject({ kind: 'ready', inputs: ['r/1/0'] });
    expect(caller.producedHandles.filter((handle) => handle.startsWith('r/0'))).toHaveLength(2);
  });

  it('frees no reported results of abandoned plans, only results that arrive later', async () => {
    const first = makeCoordinator();
    void first.plan(makePlanRequest());
    await clock.advance(CALL_MS + 20);
    first.abandonAll();
    await clock.advance(20);
    expect(caller.freedHandles).toEqual([]);
    await clock.advance(CALL_MS);
    expect(caller.freedHandles).toEqual(['r/1/0']);
  });

  it('takes over the results of an earlier plan of the same request', async () => {
    const coordinator = makeCoordinator();
    const earlier = coordinator.plan(makePlanRequest());
    await clock.advance(CALL_MS + 20);
    const planned = coordinator.plan(makePlanRequest({ planId: 'r#2' }));
    await clock.advance(2 * CALL_MS + 40);
    expect(await earlier).toMatchObject({ kind: 'refused', reason: 'lost' });
    expect(await planned).toMatchObject({ kind: 'ready' });
    expect(caller.producedHandles.filter((handle) => handle.startsWith('r/0'))).toHaveLength(2);
  });

  it('ends no later plan by the timer of an earlier one that has ended', async () => {
    const coordinator = makeCoordinator();
    void coordinator.plan(makePlanRequest({ deadlineLeft: 1000, stages: [], pieces: [] }));
    await clock.advance(20);
    coordinator.markEnded('r#1');
    await clock.advance(2950);
    // A caller that sends the same request id again gets a plan of the same id.
    const planned = coordinator.plan(makePlanRequest());
    await clock.advance(3 * CALL_MS);
    expect(await planned).toMatchObject({ kind: 'ready' });
  });

  it('frees unneeded results of a lost coordinator at the endpoints that are still listed', async () => {
    const coordinator = makeCoordinator();
    coordinator.freeResults([
      { stage: 1, segment: 0, handle: 'r/1/0', maker: 's1', life: 1000 },
      { stage: 1, segment: 1, handle: 'r/1/1', maker: 'gone', life: 1000 },
    ]);
    await clock.advance(FREE_BATCH_MS);
    expect(caller.freedHandles).toEqual(['r/1/0']);
  });
});

describe('requests that crash engines', () => {
  const ENGINES = ['e1', 'e2', 'e3', 'e4'];
  let clock: manualClock.ManualClock;
  let crashes: blame.IBlameFixture;
  let coordinator: coordinators.Coordinator;
  let planCount: number;
  let stageItems: batching.IStageItem[];

  beforeEach(() => {
    clock = new manualClock.ManualClock();
    crashes = blame.makeBlame(clock);
    planCount = 0;
    stageItems = [];
    const directory = new endpointDirectory.EndpointDirectory();
    const caller: batching.IStageCaller = {
      run: async (_, items) => {
        stageItems.push(...items);
        await clock.sleep(CALL_MS);
        return items.map(({ requestId, segment }) => ({ handle: `${requestId}/${segment}` }));
      },
      free: async () => true,
    };
    coordinator = new coordinators.Coordinator({
      clock,
      caller,
      directory,
      ...crashes,
      rateLimiter: new unlimitedRateLimiter.UnlimitedRateLimiter(),
      logService: new recordingLog.RecordingLogService(),
      metrics: new recordingMetrics.RecordingMetricsService(),
    });
    const batch = {
      maxConcurrentCalls: 4,
      maxItemsPerCall: 8,
      callCost: CALL_MS,
      itemCost: 1,
      resultCapacityBytes: 1000,
      resultRetention: RESULT_LIFE_MS,
    };
    const services = new Map<string, routing.IService>([
      ['stage', { name: 'stage', maxConnections: 4, batch }],
      ['engine', { name: 'engine', maxConnections: 4, engine: { slots: 4, cacheTokens: 1000 } }],
    ]);
    const limits = { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 };
    coordinator.configure({ version: 1, routes: [], services, limits });
    const endpoints = [
      makeEndpoint('s1', 'stage'),
      ...ENGINES.map((id) => makeEndpoint(id, 'engine')),
    ];
    directory.replace({ revision: 1, endpoints });
  });

  /** Plans a request with these prompt parts; the last one is added. */
  function plan(
    parts: readonly string[],
    change: Partial<types.IPlanRequest> = {},
  ): { readonly planId: string; readonly outcome: Promise<types.PlanOutcome> } {
    planCount += 1;
    const planId = `r${planCount}#1`;
    const ids = [...parts, `own-${planCount}`];
    const prompt = {
      parts: ids.map((id) => ({ id, tokens: 10 })),
      tokensIn: 10 * ids.length,
      tokensOut: 10,
    };
    const requestId = `r${planCount}`;
    const fields = { planId, requestId, fingerprint: requestId, stages: [], pieces: [], prompt };
    return { planId, outcome: coordinator.plan(makePlanRequest({ ...fields, ...change })) };
  }

  async function engineOf(outcome: Promise<types.PlanOutcome>): Promise<string> {
    const planned = await outcome;
    return planned.kind === 'ready' ? planned.endpoint.id : planned.reason;
  }

  /** Plans a request with the part `deadly`, whose engine crashes; returns the engine, or the refusal. */
  async function crash(): Promise<string> {
    const { planId, outcome } = plan(['first', 'deadly']);
    const engine = await engineOf(outcome);
    if (ENGINES.includes(engine)) {
      crashes.crashConfirmer.crashed.add(engine);
      await clock.advance(100);
      coordinator.markEnded(planId, engine);
      await clock.advance(1500);
      crashes.crashConfirmer.crashed.delete(engine);
    }
    return engine;
  }

  /** Stages of which items of a request were run. */
  function stagesRun(requestId: string): readonly number[] {
    const own = stageItems.filter((item) => item.requestId === requestId);
    return [...new Set(own.map(({ stage }) => stage))].sort();
  }

  /** Plans a sound request with `parts`, which runs well. */
  async function run(parts: readonly string[]): Promise<string> {
    const { planId, outcome } = plan(parts);
    const engine = await engineOf(outcome);
    coordinator.markStarted(planId, true);
    coordinator.markEnded(planId);
    return engine;
  }

  it('refuses requests with the part after two crashes, and serves all others', async () => {
    expect(ENGINES).toContain(await run(['first']));
    expect([await crash(), await crash()].every((id) => ENGINES.includes(id))).toBe(true);
    expect(await plan(['first', 'deadly']).outcome).toMatchObject({
      kind: 'refused',
      reason: 'quarantined',
    });
    expect(ENGINES).toContain(await run(['first']));
    expect(ENGINES).toContain(await run(['first', 'other']));
  });

  it('blames no part while the crashes are not confirmed', async () => {
    for (let count = 0; count < 5; count++) {
      const { planId, outcome } = plan(['first', 'deadly']);
      coordinator.markEnded(planId, await engineOf(outcome));
      await clock.advance(1500);
    }
    expect(ENGINES).toContain(await run(['first', 'deadly']));
  });

  it('does not take an error response for a success of the part', async () => {
    await run(['first']);
    const { planId, outcome } = plan(['first', 'deadly']);
    await outcome;
    coordinator.markStarted(planId, false);
    coordinator.markEnded(planId);
    await crash();
    await crash();
    expect(await crash()).toBe('quarantined');
  });

  it('refuses plans whose stages still run, and starts no more of them', async () => {
    await run(['first']);
    await crash();
    const third = { service: 'stage', after: [1], resultBytes: 10 };
    const stages = { stages: [...STAGES, third], pieces: [2, 1, 1] };
    const waiting = plan(['first', 'deadly'], { ...stages, requestId: 'waiting' });
    const sound = plan(['first'], { ...stages, requestId: 'sound' });
    const second = plan(['first', 'deadly']);
    const engine = await engineOf(second.outcome);
    crashes.crashConfirmer.crashed.add(engine);
    coordinator.markEnded(second.planId, engine);
    await clock.advance(5 * CALL_MS);
    expect(await engineOf(waiting.outcome)).toBe('quarantined');
    expect(ENGINES).toContain(await engineOf(sound.outcome));
    expect(stagesRun('sound')).toEqual([0, 1, 2]);
    expect(stagesRun('waiting')).not.toContain(2);
  });

  it('refuses to assign another engine to a request with the part', async () => {
    await run(['first']);
    const waiting = plan(['first', 'deadly']);
    const engine = await engineOf(waiting.outcome);
    await crash();
    await crash();
    expect(await coordinator.reassign(waiting.planId, engine, 'not-run')).toMatchObject({
      kind: 'refused',
      reason: 'quarantined',
    });
  });

  it('asks nothing of an engine that rejects a request', async () => {
    const { planId, outcome } = plan(['first']);
    const engine = await engineOf(outcome);
    const next = await engineOf(coordinator.reassign(planId, engine, 'not-run'));
    await coordinator.reassign(planId, next, 'limited');
    coordinator.cancel(planId);
    await clock.advance(1000);
    expect(crashes.crashConfirmer.checked).toEqual([]);
  });

  it('admits one request after the quarantine, and all once that one succeeds', async () => {
    await run(['first']);
    await crash();
    await crash();
    await clock.advance(60_000);
    const trial = plan(['first', 'deadly']);
    expect(ENGINES).toContain(await engineOf(trial.outcome));
    expect(await engineOf(plan(['first', 'deadly']).outcome)).toBe('quarantined');
    coordinator.markStarted(trial.planId, true);
    coordinator.markEnded(trial.planId);
    expect(ENGINES).toContain(await engineOf(plan(['first', 'deadly']).outcome));
    expect(ENGINES).toContain(await engineOf(plan(['first', 'deadly']).outcome));
  });

  it('does not blame the part for a trial that an engine did not run', async () => {
    await run(['first']);
    await crash();
    await crash();
    await clock.advance(60_000);
    const trial = plan(['first', 'deadly']);
    const engine = await engineOf(trial.outcome);
    const next = await engineOf(coordinator.reassign(trial.planId, engine, 'not-run'));
    expect(ENGINES).toContain(next);
  });
});
