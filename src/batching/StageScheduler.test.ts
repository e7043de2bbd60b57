import * as vitest from 'vitest';
import type * as commonTypes from '../common/Types.js';
import * as manualClock from '../common/testing/ManualClock.js';
import * as recordingLog from '../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../common/testing/RecordingMetricsService.js';
import * as unlimitedRateLimiter from '../ratelimit/testing/UnlimitedRateLimiter.js';
import type * as routing from '../routing/Types.js';
import * as stageScheduler from './StageScheduler.js';
import * as types from './Types.js';

const { beforeEach, expect, test } = vitest;

const LIMITS: routing.IBatchLimits = {
  maxConcurrentCalls: 1,
  maxItemsPerCall: 2,
  callCost: 10,
  itemCost: 2,
  resultCapacityBytes: 1000,
  resultRetention: 4000,
};
const SLOW_CALL_MS = 300;
/** A call of two items as declared, and the window in which items gather before it. */
const CALL_MS = 20;

/** Takes a settable time for each call; endpoints in `failing` fail every call. */
class ScriptedCaller implements types.IStageCaller {
  readonly calledIds: string[] = [];

  readonly failingIds = new Set<string>();

  readonly durations = new Map<string, commonTypes.Millis>();

  constructor(private readonly clock: manualClock.ManualClock) {}

  async run(
    { id }: routing.IEndpoint,
    items: readonly types.IStageItem[],
  ): Promise<readonly types.ItemOutcome[]> {
    this.calledIds.push(id);
    if (this.failingIds.has(id)) {
      throw new types.StageCallError('failed', 'refused');
    }
    await this.clock.sleep(this.durations.get(id) ?? LIMITS.callCost);
    return items.map(({ requestId }) => ({ handle: requestId }));
  }

  async free(): Promise<boolean> {
    return true;
  }
}

let clock: manualClock.ManualClock;
let caller: ScriptedCaller;
let scheduler: stageScheduler.StageScheduler;
let doneIds: string[];

function endpoint(id: string): routing.IEndpoint {
  return {
    id,
    service: 's',
    address: `${id}:1`,
    availabilityZone: 'a',
    slots: 1,
    draining: false,
  };
}

beforeEach(() => {
  clock = new manualClock.ManualClock();
  caller = new ScriptedCaller(clock);
  doneIds = [];
  scheduler = new stageScheduler.StageScheduler('s', LIMITS, {
    clock,
    caller,
    rateLimiter: new unlimitedRateLimiter.UnlimitedRateLimiter(),
    logService: new recordingLog.RecordingLogService(),
    metrics: new recordingMetrics.RecordingMetricsService(),
  });
});

function add(id: string): void {
  const now = clock.monotonic();
  scheduler.add({
    items: [
      {
        item: { requestId: id, stage: 0, segment: 0, key: id },
        onResult: () => doneIds.push(id),
        onFailure: () => {},
      },
    ],
    resultBytes: 1,
    latestStartForGoal: now + 5000,
    latestStartForDeadline: now + 5000,
    deadline: now + 6000,
    priority: 0,
    queuedAt: now,
    preferredZone: undefined,
    crossZoneBytes: 0,
    freesRoom: false,
    inputsExpireAt: Number.POSITIVE_INFINITY,
    downstreamDelay: () => 0,
    isCancelled: () => false,
  });
}

test('does not leave items queued while its only endpoint, slow in one call, is idle', async () => {
  scheduler.updateEndpoints([endpoint('e1')], LIMITS);
  caller.durations.set('e1', SLOW_CALL_MS);
  add('first');
  await clock.advance(SLOW_CALL_MS);
  caller.durations.clear();
  add('second');
  await clock.advance(2 * CALL_MS);
  expect(doneIds).toEqual(['first', 'second']);
});

test('uses a slow endpoint while the others back off after failures', async () => {
  scheduler.updateEndpoints([endpoint('e1')], LIMITS);
  caller.durations.set('e1', SLOW_CALL_MS);
  add('first');
  await clock.advance(SLOW_CALL_MS + CALL_MS);
  caller.durations.clear();
  caller.failingIds.add('e2');
  scheduler.updateEndpoints([endpoint('e1'), endpoint('e2')], LIMITS);
  add('lost');
  await clock.advance(CALL_MS);
  add('second');
  await clock.advance(2 * CALL_MS);
  expect(caller.calledIds).toEqual(['e1', 'e2', 'e1']);
  expect(doneIds).toEqual(['first', 'second']);
});

test('sends nothing to a slow endpoint while another one takes calls', async () => {
  scheduler.updateEndpoints([endpoint('e1')], LIMITS);
  caller.durations.set('e1', SLOW_CALL_MS);
  add('first');
  await clock.advance(SLOW_CALL_MS + CALL_MS);
  scheduler.updateEndpoints([endpoint('e1'), endpoint('e2')], LIMITS);
  ['a', 'b', 'c', 'd'].forEach(add);
  await clock.advance(4 * CALL_MS);
  expect(caller.calledIds).toEqual(['e1', 'e2', 'e2']);
  expect(doneIds).toHaveLength(5);
});
