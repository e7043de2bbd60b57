import * as vitest from 'vitest';
import * as manualClock from '../common/testing/ManualClock.js';
import * as rankShares from './RankShares.js';
import type * as types from './Types.js';

const { beforeEach, expect, test } = vitest;

let clock: manualClock.ManualClock;
let shares: rankShares.RankShares;

beforeEach(() => {
  clock = new manualClock.ManualClock();
  shares = new rankShares.RankShares(clock);
});

function request(priority: number): types.IPlanRequest {
  return {
    planId: 'p',
    requestId: 'r',
    service: 'engines',
    stages: [],
    pieces: [],
    pieceKey: 'k',
    priority,
    goalLeft: 1000,
    deadlineLeft: 5000,
    prompt: { parts: [], tokensIn: 0, tokensOut: 0 },
    avoid: [],
    held: [],
  };
}

function record(priority: number, service: string, admitted: number, refused: number): void {
  for (let count = 0; count < admitted + refused; count++) {
    shares.record(request(priority), [service], count < admitted);
  }
}

test('puts a request behind more urgent ones that are refused at a stage that it needs', () => {
  record(0, 'log', 20, 40);
  expect(shares.outrankedAt(request(2), ['registry', 'log'])).toBe('log');
  expect(shares.outrankedAt(request(2), ['registry'])).toBeUndefined();
});

test('never puts a request behind equally or less urgent ones', () => {
  record(1, 'log', 0, 40);
  expect(shares.outrankedAt(request(1), ['log'])).toBeUndefined();
  expect(shares.outrankedAt(request(0), ['log'])).toBeUndefined();
});

test('admits less urgent requests as often as more urgent ones, so that their share does not go to zero', () => {
  let admitted = 0;
  for (let count = 0; count < 100; count++) {
    record(0, 'log', 1, 1);
    const isAdmitted = shares.outrankedAt(request(2), ['log']) === undefined;
    shares.record(request(2), ['log'], isAdmitted);
    admitted += isAdmitted ? 1 : 0;
  }
  expect(admitted).toBeGreaterThan(40);
  expect(admitted).toBeLessThan(60);
});

test('goes by the last seconds, and not by a few refusals', async () => {
  record(0, 'log', 0, 40);
  await clock.advance(12_000);
  expect(shares.outrankedAt(request(2), ['log'])).toBeUndefined();
});
