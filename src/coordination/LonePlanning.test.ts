import * as vitest from 'vitest';
import * as batching from '../batching/Types.js';
import * as endpointContention from '../batching/EndpointContention.js';
import * as blame from '../blame/testing/Blame.js';
import * as seededRandom from '../common/SeededRandom.js';
import * as manualClock from '../common/testing/ManualClock.js';
import * as recordingLog from '../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../common/testing/RecordingMetricsService.js';
import * as unlimitedRateLimiter from '../ratelimit/testing/UnlimitedRateLimiter.js';
import * as endpointDirectory from '../routing/EndpointDirectory.js';
import type * as routing from '../routing/Types.js';
import * as coordinators from './Coordinator.js';
import type * as types from './Types.js';

const { describe, expect, it } = vitest;
const showsRed = process.env.ANVILDECK_KNOWN_RED === '1';
const VMS = 50;
const STAGE_ENDPOINTS = 8;
/** Calls that an endpoint accepts beside the one that runs. */
const QUEUE_DEPTH = 2;
const BATCH: routing.IBatchLimits = {
  maxConcurrentCalls: 1,
  maxItemsPerCall: 8,
  callCost: 240,
  itemCost: 26,
  resultCapacityBytes: 1e9,
  resultRetention: 4000,
};
const ITEMS_PER_REQUEST = 2;
const GOAL_MS = 3000;
const DEADLINE_MS = 15_000;
const LOAD_MS = 12_000;
/** Requests a second that all endpoints serve in full calls. */
const CAPACITY_PER_S =
  (STAGE_ENDPOINTS * BATCH.maxItemsPerCall * 1000) /
  (BATCH.callCost + BATCH.itemCost * BATCH.maxItemsPerCall) /
  ITEMS_PER_REQUEST;

/** Stage endpoints that run one call at a time and refuse calls while their queue is full. */
class QueueingEndpoints implements batching.IStageCaller {
  calls = 0;

  full = 0;

  private readonly waiting = new Map<string, number>();

  private readonly freeAt = new Map<string, number>();

  constructor(private readonly clock: manualClock.ManualClock) {}

  async run(
    { id }: routing.IEndpoint,
    items: readonly batching.IStageItem[],
  ): Promise<readonly batching.ItemOutcome[]> {
    this.calls += 1;
    const accepted = this.waiting.get(id) ?? 0;
    if (accepted > QUEUE_DEPTH) {
      this.full += 1;
      throw new batching.StageCallError('full', 'full');
    }
    this.waiting.set(id, accepted + 1);
    const start = Math.max(this.clock.monotonic(), this.freeAt.get(id) ?? 0);
    const end = start + BATCH.callCost + BATCH.itemCost * items.length;
    this.freeAt.set(id, end);
    await this.clock.sleep(end - this.clock.monotonic());
    this.waiting.set(id, (this.waiting.get(id) ?? 1) - 1);
    return items.map(({ requestId, segment }) => ({ handle: `${requestId}/${segment}` }));
  }

  async free(): Promise<boolean> {
    return true;
  }
}

function makeVm(
  name: string,
  clock: manualClock.ManualClock,
  random: seededRandom.SeededRandom,
  caller: batching.IStageCaller,
  knowsOthers: boolean,
): coordinators.Coordinator {
  const directory = new endpointDirectory.EndpointDirectory();
  const vmCount = (): number => VMS;
  const contention = new endpointContention.EndpointContention({
    clock,
    random,
    directory,
    vm: name,
    vmCount,
  });
  const coordinator = new coordinators.Coordinator({
    clock,
    caller,
    directory,
    ...blame.makeBlame(clock),
    ...(knowsOthers
      ? { rateLimiter: contention, contention }
      : { rateLimiter: new unlimitedRateLimiter.UnlimitedRateLimiter() }),
    logService: new recordingLog.RecordingLogService(),
    metrics: new recordingMetrics.RecordingMetricsService(),
  });
  const services = new Map<string, routing.IService>([
    ['stage', { name: 'stage', maxConnections: 99, batch: BATCH }],
    ['engine', { name: 'engine', maxConnections: 99, engine: { slots: 99, cacheTokens: 1e6 } }],
  ]);
  const limits = { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 };
  coordinator.configure({ version: 1, routes: [], services, limits });
  contention.configure(services.values());
  const ids = Array.from({ length: STAGE_ENDPOINTS }, (_, index) => `s${index}`);
  const endpoints = [...ids, 'e'].map((id) => ({
    id,
    service: id === 'e' ? 'engine' : 'stage',
    address: id,
    availabilityZone: 'a',
    slots: 99,
    draining: false,
  }));
  directory.replace({ revision: 1, endpoints });
  return coordinator;
}

function makeRequest(id: string): types.IPlanRequest {
  return {
    planId: `${id}#1`,
    requestId: id,
    service: 'engine',
    stages: [{ service: 'stage', after: [], resultBytes: 10 }],
    pieces: [ITEMS_PER_REQUEST],
    pieceKey: id,
    priority: 0,
    goalLeft: GOAL_MS,
    deadlineLeft: DEADLINE_MS,
    prompt: { parts: [], tokensIn: 10, tokensOut: 10 },
    avoid: [],
    held: [],
  };
}

/**
 * What callers and endpoints see while all VMs plan alone under `load`, a ratio of what the endpoints can do; unless
 * `knowsOthers`, each VM plans as if it were the only one.
 */
async function play(load: number, knowsOthers: boolean) {
  const clock = new manualClock.ManualClock();
  const random = new seededRandom.SeededRandom(7);
  const caller = new QueueingEndpoints(clock);
  const vms = Array.from({ length: VMS }, (_, index) =>
    makeVm(`vm-${index}`, clock, random, caller, knowsOthers),
  );
  const outcomes: { readonly isReady: boolean; readonly took: number }[] = [];
  const send = (id: string): void => {
    const at = clock.monotonic();
    void vms[random.nextInt(VMS)]?.plan(makeRequest(id)).then(({ kind }) => {
      outcomes.push({ isReady: kind === 'ready', took: clock.monotonic() - at });
    });
  };
  const count = Math.round((load * CAPACITY_PER_S * LOAD_MS) / 1000);
  for (let index = 0; index < count; index++) {
    clock.setTimer(random.next() * LOAD_MS, () => send(`r${index}`));
  }
  await clock.advance(LOAD_MS + DEADLINE_MS);
  vms.forEach((vm) => vm.dispose());
  const refusals = outcomes.filter(({ isReady }) => !isReady);
  return {
    full: caller.full / caller.calls,
    inGoal: outcomes.filter(({ isReady, took }) => isReady && took <= GOAL_MS).length / count,
    lateRefusals:
      refusals.filter(({ took }) => took > GOAL_MS / 8).length / Math.max(1, refusals.length),
    answered: outcomes.length / count,
  };
}

describe('VMs that all plan alone', () => {
  it.each([{ load: 0.4 }, { load: 1 }, { load: 2 }])(
    'serve more callers with fewer calls than as the only ones, at a load of $load',
    async ({ load }) => {
      const asOnlyOnes = await play(load, false);
      const together = await play(load, true);
      expect(together.answered).toBe(1);
      expect(together.inGoal).toBeGreaterThan(asOnlyOnes.inGoal);
      expect(together.full).toBeLessThan((2 / 3) * asOnlyOnes.full);
    },
  );

  // KNOWN-RED.txt, 34: runs with ANVILDECK_KNOWN_RED=1.
  it.skipIf(!showsRed).each([{ load: 1 }, { load: 2 }])(
    'refuse at once what they can not serve, at a load of $load',
    async ({ load }) => {
      const { lateRefusals } = await play(load, true);
      expect(lateRefusals).toBeLessThan(0.05);
    },
  );
});
