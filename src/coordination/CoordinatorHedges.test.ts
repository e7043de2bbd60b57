import * as vitest from 'vitest';
import * as blame from '../blame/testing/Blame.js';
import * as manualClock from '../common/testing/ManualClock.js';
import * as recordingLog from '../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../common/testing/RecordingMetricsService.js';
import type * as hedging from '../hedging/Types.js';
import * as endpointDirectory from '../routing/EndpointDirectory.js';
import type * as routing from '../routing/Types.js';
import * as coordinators from './Coordinator.js';
import type * as types from './Types.js';

const { beforeEach, describe, expect, test } = vitest;
const SERVICE = 'engine';
/** Time after which a crash is decided. */
const DECIDED_MS = 250;
const ALWAYS: hedging.IHedgePolicy = {
  delayFor: () => 100,
  recordFirst: () => {},
  recordAnswer: () => {},
  request: () => 'granted',
  isZoneLate: () => false,
};

describe('Coordinator, with second engines', () => {
  let clock: manualClock.ManualClock;
  /** Whether the engines' rate limits allow no request now. */
  let isLimited: boolean;
  let crashes: blame.IBlameFixture;
  let directory: endpointDirectory.EndpointDirectory;
  let coordinator: coordinators.Coordinator;

  function endpoint(id: string): routing.IEndpoint {
    const address = '127.0.0.1:1';
    return { id, service: SERVICE, address, availabilityZone: 'a', slots: 4, draining: false };
  }

  function list(...ids: string[]): void {
    directory.replace({ revision: 1, endpoints: ids.map(endpoint) });
  }

  beforeEach(() => {
    isLimited = false;
    clock = new manualClock.ManualClock();
    crashes = blame.makeBlame(clock);
    directory = new endpointDirectory.EndpointDirectory();
    configure(ALWAYS);
    list('e1', 'e2');
  });

  /** Creates the coordinator. */
  function configure(hedgePolicy: hedging.IHedgePolicy | undefined): void {
    coordinator = new coordinators.Coordinator({
      clock,
      caller: { run: async () => [], free: async () => true },
      directory,
      ...crashes,
      rateLimiter: {
        rateOf: () => undefined,
        delayOf: () => (isLimited ? 50 : 0),
        take: () => !isLimited,
      },
      hedgePolicy,
      logService: new recordingLog.RecordingLogService(),
      metrics: new recordingMetrics.RecordingMetricsService(),
    });
    const engine = { slots: 4, cacheTokens: 100_000 };
    coordinator.configure({
      version: 1,
      routes: [],
      services: new Map([[SERVICE, { name: SERVICE, maxConnections: 64, engine }]]),
      limits: { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 },
    });
  }

  function plan(
    planId: string,
    change: Partial<types.IPlanRequest> = {},
  ): Promise<types.PlanOutcome> {
    return coordinator.plan({
      planId,
      requestId: planId,
      service: SERVICE,
      stages: [],
      pieces: [],
      pieceKey: '',
      priority: 0,
      goalLeft: 1500,
      deadlineLeft: 4000,
      prompt: { parts: [], tokensIn: 10, tokensOut: 10 },
      avoid: [],
      held: [],
      ...change,
    });
  }

  /** Places a plan on two engines; returns the id of each. */
  async function race(planId: string): Promise<readonly [string, string]> {
    const outcome = await plan(planId);
    const second = await coordinator.hedge(planId);
    return [outcome.kind === 'ready' ? outcome.endpoint.id : '', second?.id ?? ''];
  }

  /** Crashed engines and the requests that may have crashed them. */
  function suspected(): readonly string[] {
    return crashes.blameTable.news.crashes.map(
      ({ endpointId, suspects }) =>
        `${endpointId}: ${suspects.map(({ request }) => request).join()}`,
    );
  }

  test.each(['first', 'second'] as const)(
    'suspect a request of the crash of its %s one',
    async (lost) => {
      const [first, second] = await race('r');
      const [failed, winner] = lost === 'first' ? [first, second] : [second, first];
      crashes.crashConfirmer.crashed.add(failed);
      coordinator.settleHedge('r', { winner, failed: { endpoint: failed, failure: 'broken' } });
      coordinator.markStarted('r', true);
      await clock.advance(DECIDED_MS);
      expect(suspected()).toEqual([`${failed}: request:r`]);
    },
  );

  test('suspect a request of the crash of the engine that won', async () => {
    const [first, second] = await race('r');
    crashes.crashConfirmer.crashed.add(second);
    coordinator.settleHedge('r', { winner: second });
    coordinator.markStarted('r', true);
    coordinator.markEnded('r', second);
    await clock.advance(DECIDED_MS);
    expect(suspected()).toEqual([`${second}: request:r`]);
    expect(crashes.crashConfirmer.checked).not.toContain(first);
  });

  test('name a time to wait only where the operator asks for them, and the request may be repeated', async () => {
    expect(await plan('r')).toHaveProperty('hedgeAfter', 100);
    expect(await plan('once', { isResumable: false })).not.toHaveProperty('hedgeAfter');
    expect(await coordinator.hedge('once')).toBeUndefined();
    configure(undefined);
    expect(await plan('r')).not.toHaveProperty('hedgeAfter');
    expect(await coordinator.hedge('r')).toBeUndefined();
  });

  test('hold nothing against engines whose calls were cancelled', async () => {
    const [, second] = await race('r');
    coordinator.settleHedge('r', { winner: second });
    coordinator.markStarted('r', true);
    coordinator.markEnded('r');
    await clock.advance(DECIDED_MS);
    expect(crashes.crashConfirmer.checked).toEqual([]);
    expect(await race('next')).not.toContain('');
  });

  test('do not send a request back to either of two engines that failed', async () => {
    const [first, second] = await race('r');
    coordinator.settleHedge('r', {
      winner: second,
      failed: { endpoint: first, failure: 'broken' },
    });
    const next = coordinator.reassign('r', second, 'broken');
    expect(await next).toMatchObject({ kind: 'refused', reason: 'no-endpoint' });
  });

  test('leave permits to first attempts that wait for them', async () => {
    await plan('r');
    isLimited = true;
    void plan('waiting');
    isLimited = false;
    expect(await coordinator.hedge('r')).toBeUndefined();
    await clock.advance(DECIDED_MS);
    expect(await coordinator.hedge('r')).toBeDefined();
  });

  test('put no second engine at risk for a request that is on trial', async () => {
    for (const id of ['c1', 'c2']) {
      const at = clock.monotonic();
      const suspects = [{ request: 'request:r', parts: [], placedAt: at - 10 }];
      crashes.blameTable.recordCrash({ id, endpointId: 'e9', at, suspects });
      await clock.advance(1500);
    }
    await clock.advance(61_000);
    expect((await race('r'))[1]).toBe('');
    expect((await race('other'))[1]).not.toBe('');
  });
});
