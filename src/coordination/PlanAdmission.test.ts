import * as vitest from 'vitest';
import * as stageScheduler from '../batching/StageScheduler.js';
import * as manualClock from '../common/testing/ManualClock.js';
import * as recordingLog from '../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../common/testing/RecordingMetricsService.js';
import * as unlimitedRateLimiter from '../ratelimit/testing/UnlimitedRateLimiter.js';
import type * as routing from '../routing/Types.js';
import * as admissionOutcomes from './AdmissionOutcomes.js';
import * as planAdmission from './PlanAdmission.js';
import * as rankShares from './RankShares.js';
import type * as types from './Types.js';

const { beforeEach, expect, test } = vitest;

/** A full call takes 400 ms and produces 16 items. */
const LIMITS: routing.IBatchLimits = {
  maxConcurrentCalls: 1,
  maxItemsPerCall: 16,
  callCost: 240,
  itemCost: 10,
  resultCapacityBytes: 1e9,
  resultRetention: 4000,
};
const ENDPOINTS = 10;
const GOAL_MS = 2000;
const RESULT_BYTES = 6000;
/** Items that the endpoints of a stage produce in 900 ms. */
const OUTSTANDING = 360;
const CHAIN = ['first', 'second', 'third'].map((service, at) => ({
  service,
  after: at === 0 ? [] : [at - 1],
  resultBytes: RESULT_BYTES,
}));

let schedulers: Map<string, stageScheduler.StageScheduler>;
let outcomes: admissionOutcomes.AdmissionOutcomes;
let admission: planAdmission.PlanAdmission;

beforeEach(() => {
  const clock = new manualClock.ManualClock();
  schedulers = new Map(
    CHAIN.map(({ service }) => {
      const scheduler = new stageScheduler.StageScheduler(service, LIMITS, {
        clock,
        caller: { run: async () => [], free: async () => true },
        rateLimiter: new unlimitedRateLimiter.UnlimitedRateLimiter(),
        logService: new recordingLog.RecordingLogService(),
        metrics: new recordingMetrics.RecordingMetricsService(),
      });
      const endpoints = Array.from({ length: ENDPOINTS }, (_, at) => ({
        id: `${service}-${at}`,
        service,
        address: `127.0.0.1:${at}`,
        availabilityZone: 'a',
        slots: 1,
        draining: false,
      }));
      scheduler.updateEndpoints(endpoints, LIMITS);
      return [service, scheduler];
    }),
  );
  outcomes = new admissionOutcomes.AdmissionOutcomes(clock);
  admission = new planAdmission.PlanAdmission({
    schedulerOf: (service) => schedulers.get(service),
    placerOf: () => undefined,
    unplacedPlans: () => 0,
    outcomes,
    shares: new rankShares.RankShares(clock),
  });
});

function request(change: Partial<types.IPlanRequest> = {}): types.IPlanRequest {
  return {
    planId: 'p',
    requestId: 'r',
    service: 'engines',
    stages: CHAIN,
    pieces: CHAIN.map(() => 1),
    pieceKey: 'k',
    priority: 1,
    goalLeft: GOAL_MS,
    deadlineLeft: 5500,
    prompt: { parts: [], tokensIn: 0, tokensOut: 0 },
    avoid: [],
    held: [],
    ...change,
  };
}

function check(change: Partial<types.IPlanRequest> = {}): types.PlanOutcome | undefined {
  const req = request(change);
  return admission.decide(req, req.held).refusal;
}

test('does not refuse a chain for items that its last stage completes before the request comes there', () => {
  schedulers.get('third')?.addDemand(1, OUTSTANDING, RESULT_BYTES);
  expect(check()).toBeUndefined();
});

test('refuses a chain at once for the same items in front of its first stage', () => {
  schedulers.get('first')?.addDemand(1, OUTSTANDING, RESULT_BYTES);
  expect(check()).toMatchObject({ kind: 'refused', reason: 'overloaded' });
});

test('refuses a chain at once for more items than its last stage completes in time', () => {
  schedulers.get('third')?.addDemand(1, 2 * OUTSTANDING, RESULT_BYTES);
  expect(check()).toMatchObject({ kind: 'refused', reason: 'overloaded' });
});

test('counts all items of the stage that is left to a request with earlier results', () => {
  schedulers.get('third')?.addDemand(1, OUTSTANDING, RESULT_BYTES);
  const held = [0, 1].map((stage) => ({
    stage,
    segment: 0,
    handle: 'h',
    maker: `${CHAIN[stage]?.service}-0`,
    life: 4000,
  }));
  expect(check({ held, goalLeft: 1000, deadlineLeft: 3000 })).toMatchObject({
    kind: 'refused',
    reason: 'overloaded',
  });
});

test('admits a chain behind more work once the estimates of such chains turned out too high', () => {
  const deadlineLeft = 6000;
  schedulers.get('first')?.addDemand(1, OUTSTANDING, RESULT_BYTES);
  expect(check({ deadlineLeft })).toMatchObject({ kind: 'refused', reason: 'overloaded' });
  for (let count = 0; count < 10; count++) {
    const req = request({ planId: `p-${count}` });
    outcomes.recordAdmitted(req);
    outcomes.recordOutcome(req, 'begun');
  }
  expect(check({ deadlineLeft })).toBeUndefined();
  expect(check({ deadlineLeft, priority: 2 })).toMatchObject({
    kind: 'refused',
    reason: 'overloaded',
  });
});

test('refuses a request with time to wait while more urgent ones of its chain are refused, unless it has results', () => {
  schedulers.get('third')?.addDemand(0, 2 * OUTSTANDING, RESULT_BYTES);
  const patient = { priority: 2, deadlineLeft: 20_000 };
  expect(check(patient)).toBeUndefined();
  for (let count = 0; count < 10; count++) {
    expect(check({ priority: 0 })).toMatchObject({ kind: 'refused', reason: 'overloaded' });
  }
  expect(check(patient)).toMatchObject({ kind: 'refused', reason: 'overloaded' });
  const held = { stage: 0, segment: 0, handle: 'h', maker: 'first-0', life: 4000 };
  expect(check({ ...patient, held: [held] })).toBeUndefined();
});
