import * as vitest from 'vitest';
import * as manualClock from '../common/testing/ManualClock.js';
import * as admissionOutcomes from './AdmissionOutcomes.js';
import type * as types from './Types.js';

const { beforeEach, expect, test } = vitest;

const GOAL_MS = 1000;
const REQUESTS = 10;

let clock: manualClock.ManualClock;
let outcomes: admissionOutcomes.AdmissionOutcomes;

beforeEach(() => {
  clock = new manualClock.ManualClock();
  outcomes = new admissionOutcomes.AdmissionOutcomes(clock);
});

function request(at: number, priority = 1): types.IPlanRequest {
  return {
    planId: `p-${at}`,
    requestId: `r-${at}`,
    service: 'engines',
    stages: [{ service: 'first', after: [], resultBytes: 1 }],
    pieces: [1],
    pieceKey: 'k',
    priority,
    goalLeft: GOAL_MS,
    deadlineLeft: 5000,
    prompt: { parts: [], tokensIn: 0, tokensOut: 0 },
    avoid: [],
    held: [],
  };
}

/** Admits requests and lets the engine of all but `late` of them begin in time. */
async function play(late: number): Promise<void> {
  const all = Array.from({ length: REQUESTS }, (_, at) => request(at));
  all.forEach((req) => outcomes.recordAdmitted(req));
  await clock.advance(GOAL_MS - 1);
  all.slice(late).forEach((req) => outcomes.recordOutcome(req, 'begun'));
}

test('calls estimates too high once requests with tight ones meet their goal, for their kind only', async () => {
  expect(outcomes.areEstimatesHigh(request(99))).toBe(false);
  await play(0);
  expect(outcomes.areEstimatesHigh(request(99))).toBe(true);
  expect(outcomes.areEstimatesHigh(request(99, 2))).toBe(false);
});

test('counts a request that is past its goal before it ends', async () => {
  await play(2);
  expect(outcomes.areEstimatesHigh(request(99))).toBe(true);
  await clock.advance(2);
  expect(outcomes.areEstimatesHigh(request(99))).toBe(false);
});

test('counts a request that was given up, and forgets a cancelled one', async () => {
  const last = request(REQUESTS);
  const given = request(REQUESTS + 1);
  outcomes.recordAdmitted(last);
  outcomes.recordAdmitted(given);
  await play(0);
  outcomes.forget(last);
  await clock.advance(2);
  expect(outcomes.areEstimatesHigh(request(99))).toBe(true);
  outcomes.recordOutcome(given, 'given-up');
  [0, 1].forEach((at) => {
    outcomes.recordAdmitted(request(at));
    outcomes.recordOutcome(request(at), 'given-up');
  });
  expect(outcomes.areEstimatesHigh(request(99))).toBe(false);
});

test('forgets outcomes after some seconds', async () => {
  await play(0);
  await clock.advance(4000);
  expect(outcomes.areEstimatesHigh(request(99))).toBe(false);
});
