import * as vitest from 'vitest';
import * as blame from '../blame/testing/Blame.js';
import * as recordingLog from '../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../common/testing/RecordingMetricsService.js';
import * as virtualClock from '../common/testing/VirtualClock.js';
import * as unlimitedRateLimiter from '../ratelimit/testing/UnlimitedRateLimiter.js';
import * as testRooms from '../room/testing/Rooms.js';
import * as endpointDirectory from '../routing/EndpointDirectory.js';
import type * as routing from '../routing/Types.js';
import * as coordinators from './Coordinator.js';

const { expect, test } = vitest;
const SLOTS = 4;
const WORK_MS = 150;
const GOAL_MS = 1500;
const LOAD_MS = 6000;
/** Twice the load that two engines take. */
const INTERVAL_MS = WORK_MS / (4 * SLOTS);

function endpoint(id: string): routing.IEndpoint {
  const address = '127.0.0.1:1';
  return { id, service: 'engine', address, availabilityZone: 'a', slots: SLOTS, draining: false };
}

test('a plan that waits for room at brittle engines is not overtaken by later ones until its time is over', async () => {
  const clock = new virtualClock.VirtualClock();
  const directory = new endpointDirectory.EndpointDirectory();
  const rejectionLimits = testRooms.makeLimits(clock);
  const coordinator = new coordinators.Coordinator({
    clock,
    caller: { run: async () => [], free: async () => true },
    directory,
    ...blame.makeBlame(clock),
    rateLimiter: new unlimitedRateLimiter.UnlimitedRateLimiter(),
    rooms: testRooms.makeKeeper(clock, directory, rejectionLimits),
    rejectionLimits,
    logService: new recordingLog.RecordingLogService(),
    metrics: new recordingMetrics.RecordingMetricsService(),
  });
  const engine = { slots: SLOTS, cacheTokens: 100_000 };
  coordinator.configure({
    version: 1,
    routes: [],
    services: new Map([['engine', { name: 'engine', maxConnections: 64, engine }]]),
    limits: { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 },
  });
  directory.replace({ revision: 1, endpoints: [endpoint('e1'), endpoint('e2')] });
  testRooms.nameLimit(rejectionLimits, clock, 2, 'e1', 'e2');
  const running = new Map<string, number>();
  const waits: number[] = [];
  let mostRunning = 0;
  let served = 0;
  const send = async (serial: number): Promise<void> => {
    const planId = `r${serial}#1`;
    const sentAt = clock.monotonic();
    const outcome = await coordinator.plan({
      planId,
      requestId: `r${serial}`,
      service: 'engine',
      stages: [],
      pieces: [],
      pieceKey: '',
      priority: 0,
      goalLeft: GOAL_MS,
      deadlineLeft: 4000,
      prompt: { parts: [], tokensIn: 10, tokensOut: 10 },
      avoid: [],
      held: [],
    });
    waits.push(clock.monotonic() - sentAt);
    if (outcome.kind === 'ready') {
      const { id } = outcome.endpoint;
      running.set(id, (running.get(id) ?? 0) + 1);
      mostRunning = Math.max(mostRunning, running.get(id) ?? 0);
      coordinator.markStarted(planId, true);
      await clock.sleep(WORK_MS);
      served += 1;
      running.set(id, (running.get(id) ?? 0) - 1);
      coordinator.markEnded(planId);
    }
  };
  const pending: Promise<void>[] = [];
  for (let serial = 0; serial * INTERVAL_MS < LOAD_MS; serial++) {
    pending.push(send(serial));
    await clock.advance(INTERVAL_MS);
  }
  await clock.advance(5000);
  await Promise.all(pending);
  coordinator.dispose();
  expect(mostRunning).toBe(SLOTS);
  expect(Math.max(...waits)).toBeLessThanOrEqual(GOAL_MS);
  expect(served).toBeGreaterThanOrEqual((0.8 * (2 * SLOTS * LOAD_MS)) / WORK_MS);
});
