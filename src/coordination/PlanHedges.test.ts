import * as vitest from 'vitest';
import * as manualClock from '../common/testing/ManualClock.js';
import * as recordingLog from '../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../common/testing/RecordingMetricsService.js';
import * as hedgePolicy from '../hedging/HedgePolicy.js';
import * as enginePlacer from '../placing/EnginePlacer.js';
import * as unlimitedRateLimiter from '../ratelimit/testing/UnlimitedRateLimiter.js';
import * as unboundedRoom from '../room/UnboundedRoom.js';
import type * as routing from '../routing/Types.js';
import * as planHedges from './PlanHedges.js';

const { beforeEach, describe, expect, test } = vitest;
const LIMITS = { slots: 4, cacheTokens: 100_000 };
const PROMPT = { parts: [], tokensIn: 1000, tokensOut: 100 };
const USUAL_MS = 200;

describe('second engines of late requests', () => {
  let clock: manualClock.ManualClock;
  let metrics: recordingMetrics.RecordingMetricsService;
  let placer: enginePlacer.EnginePlacer;
  let hedges: planHedges.PlanHedges;

  function endpointOf(id: string, availabilityZone: string, version = 'v1'): routing.IEndpoint {
    const address = '127.0.0.1:1';
    return { id, service: 'm', address, availabilityZone, version, slots: 4, draining: false };
  }

  beforeEach(() => {
    clock = new manualClock.ManualClock();
    metrics = new recordingMetrics.RecordingMetricsService();
    placer = new enginePlacer.EnginePlacer(
      clock,
      LIMITS,
      new unlimitedRateLimiter.UnlimitedRateLimiter(),
      new unboundedRoom.UnboundedRoom(),
    );
    placer.updateEndpoints(
      [endpointOf('a1', 'a'), endpointOf('b1', 'b'), endpointOf('c1', 'c')],
      LIMITS,
    );
    hedges = new planHedges.PlanHedges({
      clock,
      policy: new hedgePolicy.HedgePolicy({ workRatio: 0.1, burst: 2 }, clock),
      logService: new recordingLog.RecordingLogService(),
      metrics,
    });
  });

  /** Places a request; returns its engine and the time after which it may be hedged. */
  function place(planId: string): {
    readonly engine: string | undefined;
    readonly hedgeAfter: number | undefined;
  } {
    const placement = { planId, prompt: PROMPT, inputs: [], avoid: [] };
    const engine = placer.place(placement)?.id;
    return { engine, hedgeAfter: hedges.recordPlaced({ planId, service: 'm', placer, placement }) };
  }

  /** Serves a request for each engine at the same time, all in the usual time. */
  async function serveRound(round: number, engines: number, isSuccess: boolean): Promise<void> {
    const planIds = Array.from({ length: engines }, (_, index) => `served-${round}-${index}`);
    planIds.forEach((planId) => place(planId));
    await clock.advance(USUAL_MS);
    planIds.forEach((planId) => {
      hedges.recordStarted(planId, isSuccess);
      placer.markStarted(planId);
      placer.removeRequest(planId);
      hedges.remove(planId);
    });
  }

  async function serve(rounds: number, engines: number, isSuccess = true): Promise<void> {
    for (let round = 0; round < rounds; round++) {
      await serveRound(round, engines, isSuccess);
    }
  }

  test('come from other engines of the same version, once a request is later than usual', async () => {
    placer.updateEndpoints(
      [endpointOf('a1', 'a'), endpointOf('a2', 'a'), endpointOf('b1', 'b', 'v2')],
      LIMITS,
    );
    await serve(15, 3);
    const { engine, hedgeAfter } = place('late');
    expect(hedgeAfter).toBeGreaterThanOrEqual(USUAL_MS);
    const second = hedges.request('late');
    expect(second?.version).toBe(engine === 'b1' ? 'v2' : 'v1');
    expect(second?.id).not.toBe(engine);
  });

  test('are not asked for by the times of errors', async () => {
    await serve(15, 3, false);
    expect(place('late').hedgeAfter).toBeUndefined();
  });

  test('are given once for a request, and none to one that is unknown', async () => {
    await serve(15, 3);
    place('late');
    expect(hedges.request('late')).toBeDefined();
    expect(hedges.request('late')).toBeUndefined();
    expect(hedges.request('unknown')).toBeUndefined();
  });

  test('count as busy until the race is settled, whoever wins', async () => {
    await serve(15, 3);
    const { engine } = place('late');
    const second = hedges.request('late');
    expect(placer.occupancy).toBeCloseTo(2 / 12);
    hedges.settle('late', engine ?? '');
    expect(placer.occupancy).toBeCloseTo(1 / 12);
    placer.removeRequest('late');
    hedges.remove('late');
    place('next');
    const third = hedges.request('next');
    hedges.settle('next', third?.id ?? '');
    hedges.recordStarted('next', true);
    expect(placer.occupancy).toBeCloseTo(1 / 12);
    expect(placer.workOf('next')?.endpoint.id).toBe(third?.id);
    placer.removeRequest('next');
    hedges.remove('next');
    expect(placer.occupancy).toBe(0);
    expect(second).toBeDefined();
  });

  test('do not hide that the first engine starts nothing', async () => {
    placer.updateEndpoints([endpointOf('a1', 'a'), endpointOf('b1', 'b')], LIMITS);
    await serve(20, 2);
    const ids = Array.from({ length: 4 }, (_, index) => `late-${index}`);
    const waiting = ids.filter((planId) => place(planId).engine === 'a1');
    ids.filter((planId) => !waiting.includes(planId)).forEach((id) => placer.removeRequest(id));
    await clock.advance(1000);
    expect([waiting.length, hedges.request(waiting[0] ?? '')?.id]).toEqual([2, 'b1']);
    hedges.settle(waiting[0] ?? '', 'b1');
    await clock.advance(600);
    expect(place('next').engine).toBe('b1');
  });

  test('are not chosen among engines that have failed', async () => {
    await serve(15, 3);
    const { engine } = place('late');
    ['a1', 'b1', 'c1'].filter((id) => id !== engine).forEach((id) => placer.recordFailure(id));
    expect(hedges.request('late')).toBeUndefined();
    expect(metrics.counters.get('hedge{outcome=no-engine}')).toBe(1);
  });

  test('are refused where first requests need the engines', async () => {
    await serve(15, 3);
    Array.from({ length: 10 }, (_, index) => place(`busy-${index}`));
    place('late');
    expect(hedges.request('late')).toBeUndefined();
    expect(metrics.counters.get('hedge{outcome=no-room}')).toBe(1);
  });

  test('leave the zone from which the late answers come', async () => {
    placer.updateEndpoints(
      ['a1', 'a2', 'b1', 'b2', 'c1', 'c2'].map((id) => endpointOf(id, id.charAt(0))),
      LIMITS,
    );
    await serve(10, 6);
    const placed = Array.from({ length: 6 }, (_, index) => ({
      planId: `late-${index}`,
      ...place(`late-${index}`),
    }));
    const lateOnes = placed.filter(({ engine }) => engine?.startsWith('a'));
    const seconds = lateOnes.map(({ planId }) => hedges.request(planId)?.availabilityZone);
    expect(seconds).toHaveLength(2);
    expect(seconds).not.toContain('a');
  });
});
