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
