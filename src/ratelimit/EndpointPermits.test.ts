import * as vitest from 'vitest';
import * as manualClock from '../common/testing/ManualClock.js';
import * as recordingLog from '../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../common/testing/RecordingMetricsService.js';
import * as endpointPermits from './EndpointPermits.js';
import * as rateLimitTable from './RateLimitTable.js';
import * as fakeCoordinatorLink from './testing/FakeCoordinatorLink.js';
import type * as types from './Types.js';

const { beforeEach, describe, expect, it } = vitest;

describe('EndpointPermits', () => {
  let clock: manualClock.ManualClock;
  let table: rateLimitTable.RateLimitTable;
  let link: fakeCoordinatorLink.FakeCoordinatorLink;
  let permits: endpointPermits.EndpointPermits;
  let isGrantedLocally: boolean;

  function name(limit: number | 'none'): void {
    const sentAt = clock.monotonic();
    table.recordStatement({ endpointId: 'e', limit, origin: 'answer', sentAt });
  }

  beforeEach(() => {
    clock = new manualClock.ManualClock();
    const logService = new recordingLog.RecordingLogService();
    const metrics = new recordingMetrics.RecordingMetricsService();
    table = new rateLimitTable.RateLimitTable({ clock, logService, metrics });
    link = new fakeCoordinatorLink.FakeCoordinatorLink();
    isGrantedLocally = true;
    const local: types.IEndpointRateLimiter = {
      rateOf: () => 1,
      delayOf: () => (isGrantedLocally ? 0 : 700),
      take: () => isGrantedLocally,
    };
    permits = new endpointPermits.EndpointPermits({ table, local, link, clock, metrics });
  });

  it('asks the coordinator for endpoints that name a limit, and for no others', async () => {
    expect(permits.acquire('e')).toBe(true);
    name(1);
    link.decide = () => ({ isGranted: true, delay: 0 });
    expect(await permits.acquire('e')).toBe(true);
    expect(link.requests).toHaveLength(1);
    await clock.advance(10);
    name('none');
    expect(permits.acquire('e')).toBe(true);
    expect(link.requests).toHaveLength(1);
  });

  it('waits with the next request until the coordinator can grant one', async () => {
    name(1);
    link.decide = () => ({ isGranted: false, delay: 300 });
    expect(await permits.acquire('e')).toBe(false);
    expect(permits.delayOf('e')).toBe(300);
    await clock.advance(300);
    expect(permits.delayOf('e')).toBe(0);
  });

  it('counts a request that is not answered as refused, and an answer that comes late as nothing', async () => {
    name(1);
    isGrantedLocally = false;
    const permit = permits.acquire('e');
    await clock.advance(60);
    expect(await permit).toBe(false);
    expect(permits.delayOf('e')).toBe(700);
    link.permit.fire({ permitId: link.requests[0]?.permitId ?? 0, isGranted: true, delay: 0 });
    expect(permits.delayOf('e')).toBe(700);
    expect(permits.acquire('e')).toBe(false);
  });

  it('uses the local share for a while when the coordinator does not answer, then asks again', async () => {
    name(1);
    const permit = permits.acquire('e');
    await clock.advance(60);
    expect(await permit).toBe(false);
    expect(permits.acquire('e')).toBe(true);
    expect(link.requests).toHaveLength(1);
    await clock.advance(500);
    link.decide = () => ({ isGranted: true, delay: 0 });
    expect(await permits.acquire('e')).toBe(true);
    expect(link.requests).toHaveLength(2);
  });

  it('uses the local share while no coordinator is connected', () => {
    name(1);
    link.isConnected = false;
    expect(permits.acquire('e')).toBe(true);
    isGrantedLocally = false;
    expect(permits.acquire('e')).toBe(false);
    expect(permits.delayOf('e')).toBe(700);
    expect(link.requests).toEqual([]);
  });

  it('tells the coordinator what this VM sees, and a new coordinator all that it knows', async () => {
    name(1);
    expect(link.sent).toMatchObject([{ endpointId: 'e', limit: 1 }]);
    link.coordinatorFound.fire();
    expect(link.sent).toMatchObject([{ limit: 1 }, { limit: 1 }]);
    await clock.advance(10);
    name('none');
    expect(link.sent.at(-1)).toMatchObject({ endpointId: 'e', limit: null });
  });

  it('adopts what the coordinator tells, without an echo, and corrects what is outdated', async () => {
    link.rateLimits.fire([{ endpointId: 'e', limit: 2, sentAge: 20, receivedAge: 10 }]);
    expect(permits.isLimited('e')).toBe(true);
    expect(link.sent).toEqual([]);
    await clock.advance(10);
    name('none');
    link.rateLimits.fire([{ endpointId: 'e', limit: 2, sentAge: 30, receivedAge: 20 }]);
    expect(permits.isLimited('e')).toBe(false);
    expect(link.sent.at(-1)).toMatchObject({ endpointId: 'e', limit: null });
  });
});
