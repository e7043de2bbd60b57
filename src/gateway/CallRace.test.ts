import * as stream from 'node:stream';
import * as vitest from 'vitest';
import * as manualClock from '../common/testing/ManualClock.js';
import type * as routing from '../routing/Types.js';
import * as callRace from './CallRace.js';
import type * as engineCall from './EngineCall.js';
import * as types from './Types.js';

const { beforeEach, describe, expect, test } = vitest;
const HEDGE_AFTER_MS = 100;

function endpointOf(id: string): routing.IEndpoint {
  const address = '127.0.0.1:1';
  return { id, service: 's', address, availabilityZone: 'a', slots: 1, draining: false };
}

function answerOf(change: Partial<types.IEndpointAnswer> = {}): types.IEndpointAnswer {
  return {
    status: 200,
    headers: [],
    isGenuine: true,
    mediaType: '',
    isFramed: true,
    isNotRun: false,
    looksNotRun: false,
    isWrongEndpoint: false,
    namesRateLimit: false,
    load: undefined,
    body: stream.Readable.from([]),
    isComplete: () => true,
    bodyEnd: () => 'framed',
    ...change,
  };
}

/** A call that a test answers. */
class FakeCall {
  readonly endpoint: routing.IEndpoint;

  readonly answer: Promise<types.IEndpointAnswer>;

  isCancelled = false;

  private resolve: (answer: types.IEndpointAnswer) => void = () => {};

  private reject: (err: Error) => void = () => {};

  constructor(id: string) {
    this.endpoint = endpointOf(id);
    this.answer = new Promise((resolve, reject) => {
      this.resolve = resolve;
      this.reject = reject;
    });
    this.answer.catch(() => {});
  }

  respond(change: Partial<types.IEndpointAnswer> = {}): void {
    this.resolve(answerOf(change));
  }

  fail(): void {
    this.reject(new types.EndpointCallError('connection reset', true));
  }

  cancel(): void {
    this.isCancelled = true;
    this.fail();
  }

  dispose(): void {}
}

describe('CallRace', () => {
  let clock: manualClock.ManualClock;
  let first: FakeCall;
  let second: FakeCall;
  let started: number;
  let settled: string[];
  let offered: routing.IEndpoint | undefined | Promise<undefined>;
  let withdrawn: number;
  let winner: Promise<engineCall.EngineCall>;

  beforeEach(() => {
    clock = new manualClock.ManualClock();
    first = new FakeCall('first');
    second = new FakeCall('second');
    started = 0;
    settled = [];
    offered = second.endpoint;
    withdrawn = 0;
    const race = new callRace.CallRace(clock, {
      requestEngine: async () => offered,
      start: () => {
        started += 1;
        return second as unknown as engineCall.EngineCall;
      },
      onWithdrawn: () => {
        withdrawn += 1;
      },
      onSettled: async (won, lost, end) => {
        settled.push(`${won.endpoint.id} beats ${lost.endpoint.id}: ${end?.kind ?? 'pending'}`);
      },
    });
    winner = race.run(first as unknown as engineCall.EngineCall, HEDGE_AFTER_MS);
  });

  test('starts no second call where the first is answered in time', async () => {
    first.respond();
    await clock.advance(2 * HEDGE_AFTER_MS);
    expect((await winner).endpoint.id).toBe('first');
    expect(started).toBe(0);
  });

  test('uses the second call if that is answered first, and cancels the first', async () => {
    await clock.advance(HEDGE_AFTER_MS);
    second.respond();
    expect((await winner).endpoint.id).toBe('second');
    expect(first.isCancelled).toBe(true);
    expect(settled).toEqual(['second beats first: pending']);
  });

  test('uses the first call if that is answered after all, and cancels the second', async () => {
    await clock.advance(HEDGE_AFTER_MS);
    first.respond();
    expect((await winner).endpoint.id).toBe('first');
    expect(second.isCancelled).toBe(true);
  });

  test.each<[string, (call: FakeCall) => void, string]>([
    ['fails', (call) => call.fail(), 'failed'],
    ['is refused', (call) => call.respond({ isNotRun: true, status: 503 }), 'answered'],
    ['is answered by a stranger', (call) => call.respond({ isGenuine: false }), 'answered'],
    ['is answered by an error', (call) => call.respond({ status: 500 }), 'answered'],
  ])('waits for the other call where one %s', async (_, end, kind) => {
    await clock.advance(HEDGE_AFTER_MS);
    end(second);
    await clock.advance(1);
    first.respond();
    expect((await winner).endpoint.id).toBe('first');
    expect(settled).toEqual([`first beats second: ${kind}`]);
  });

  test('uses an error of the request itself at once', async () => {
    await clock.advance(HEDGE_AFTER_MS);
    first.respond({ status: 400 });
    expect((await winner).endpoint.id).toBe('first');
    expect(second.isCancelled).toBe(true);
  });

  test('goes on with the second call alone where the first fails meanwhile', async () => {
    await clock.advance(HEDGE_AFTER_MS);
    first.fail();
    expect((await winner).endpoint.id).toBe('second');
    expect([second.isCancelled, settled]).toEqual([false, ['second beats first: failed']]);
  });

  test('goes on with the call that fails later of two, and tells of the other at once', async () => {
    await clock.advance(HEDGE_AFTER_MS);
    second.fail();
    const used = await winner;
    expect([used.endpoint.id, settled]).toEqual(['first', ['first beats second: failed']]);
    first.fail();
    await expect(used.answer).rejects.toThrow('connection reset');
  });

  test('holds nothing against an engine whose call was cancelled from outside', async () => {
    await clock.advance(HEDGE_AFTER_MS);
    first.cancel();
    second.cancel();
    expect((await winner).endpoint.id).toBe('second');
    expect(settled).toEqual(['second beats first: pending']);
  });

  test('waits for the first call where no second engine is to be had', async () => {
    offered = undefined;
    await clock.advance(10 * HEDGE_AFTER_MS);
    first.respond();
    expect((await winner).endpoint.id).toBe('first');
    expect(started).toBe(0);
  });

  test('gives the second engine back where the first answers before that is known', async () => {
    offered = new Promise<undefined>(() => {});
    await clock.advance(HEDGE_AFTER_MS);
    first.respond();
    expect((await winner).endpoint.id).toBe('first');
    expect([started, withdrawn]).toEqual([0, 1]);
  });
});
