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
    shares.record(request(priority), [service], count < admitted ? undefined : service);
  }
}

test('puts a request behind more urgent ones that are refused at a stage that it needs', () => {
  record(0, 'log', 20, 40);
  expect(shares.outrankedAt(request(2), ['registry', 'log'])).toBe('log');
  expect(shares.outrankedAt(request(2), ['registry'])).toBeUndefined();
});

test('counts refusals at all stages that a request shares with more urgent ones', () => {
  const chain = ['notices', 'log'];
  for (let count = 0; count < 30; count++) {
    shares.record(request(0), chain, [undefined, 'notices', 'log'][count % 3]);
  }
  let admitted = 0;
  for (let count = 0; count < 30; count++) {
    const outrankedAt = shares.outrankedAt(request(2), chain);
    shares.record(request(2), chain, outrankedAt);
    admitted += outrankedAt === undefined ? 1 : 0;
  }
  expect(admitted).toBeGreaterThan(8);
  expect(admitted).toBeLessThan(14);
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
    shares.record(request(2), ['log'], isAdmitted ? undefined : 'log');
    admitted += isAdmitted ? 1 : 0;
  }
  expect(admitted).toBeGreaterThan(40);
  expect(admitted).toBeLessThan(60);
});

test('admits rare requests as often as frequent ones', async () => {
  let admitted = 0;
  for (let count = 0; count < 20; count++) {
    record(0, 'log', 100, 100);
    const isAdmitted = shares.outrankedAt(request(2), ['log']) === undefined;
    shares.record(request(2), ['log'], isAdmitted ? undefined : 'log');
    admitted += isAdmitted ? 1 : 0;
    await clock.advance(4000);
  }
  expect(admitted).toBeGreaterThan(8);
  expect(admitted).toBeLessThan(12);
});

test('goes by the last seconds, and not by a few refusals', async () => {
  record(0, 'log', 0, 40);
  await clock.advance(12_000);
  expect(shares.outrankedAt(request(2), ['log'])).toBeUndefined();
});
