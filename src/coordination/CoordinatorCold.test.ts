import * as vitest from 'vitest';
import * as blame from '../blame/testing/Blame.js';
import type * as batching from '../batching/Types.js';
import * as recordingLog from '../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../common/testing/RecordingMetricsService.js';
import * as virtualClock from '../common/testing/VirtualClock.js';
import * as coldEndpoints from '../ratelimit/ColdEndpoints.js';
import * as sharedRateLimiter from '../ratelimit/SharedRateLimiter.js';
import * as endpointDirectory from '../routing/EndpointDirectory.js';
import type * as routing from '../routing/Types.js';
import * as coordinators from './Coordinator.js';

const { beforeEach, describe, expect, it } = vitest;
const WARM_UP: routing.IWarmUp = { duration: 3000, rate: 4 };
/** What the operators allow a cold endpoint in one second. */
const MOST_IN_ONE_SECOND = 1.5 * WARM_UP.rate + 5;
const RUN_MS = 300;
const ENGINES = ['a-1', 'a-2', 'b-1', 'b-2', 'c-1', 'c-2'];
const STAGES: readonly routing.IStage[] = [{ service: 'stage', after: [], resultBytes: 10 }];
const BATCH: routing.IBatchLimits = {
  maxConcurrentCalls: 8,
  maxItemsPerCall: 1,
  callCost: 100,
  itemCost: 1,
  resultCapacityBytes: 10_000,
  resultRetention: 4000,
};

describe('a coordinator before cold endpoints', () => {
  let clock: virtualClock.VirtualClock;
  let cold: coldEndpoints.ColdEndpoints;
  let coordinator: coordinators.Coordinator;
  let directory: endpointDirectory.EndpointDirectory;
  let sent: { readonly at: number; readonly id: string }[];
  let refusals: { readonly at: number; readonly took: number }[];
  let serial: number;

  /** Lists the endpoints; each id starts with its availability zone, ids with `s` are those of a stage. */
  function list(...ids: readonly string[]): void {
    directory.replace({
      revision: 1,
      endpoints: ids.map((id) => ({
        id,
        service: id.includes('s') ? 'stage' : 'engine',
        address: '127.0.0.1:1',
        availabilityZone: id.split('-')[0] as string,
        slots: 8,
        draining: false,
      })),
    });
  }

  async function plan(stages: readonly routing.IStage[]): Promise<void> {
    serial += 1;
    const planId = `r${serial}#1`;
    const started = clock.monotonic();
    const outcome = await coordinator.plan({
      planId,
      requestId: `r${serial}`,
      service: 'engine',
      stages,
      pieces: stages.map(() => 1),
      pieceKey: 'k',
      priority: 0,
      goalLeft: 1000,
      deadlineLeft: 6000,
      prompt: { parts: [], tokensIn: 500, tokensOut: 10 },
      avoid: [],
      held: [],
    });
    const now = clock.monotonic();
    if (outcome.kind === 'refused') {
      refusals.push({ at: now, took: now - started });
      return;
    }
    sent.push({ at: now, id: outcome.endpoint.id });
    clock.setTimer(RUN_MS / 4, () => coordinator.markStarted(planId, true));
    clock.setTimer(RUN_MS, () => coordinator.markEnded(planId));
  }

  async function load(
    rate: number,
    duration: number,
    stages: readonly routing.IStage[] = [],
  ): Promise<void> {
    const end = clock.monotonic() + duration;
    while (clock.monotonic() < end) {
      void plan(stages);
      await clock.advance(1000 / rate);
    }
  }

  function sentTo(
    prefix: string,
    since: number,
    until = Number.POSITIVE_INFINITY,
  ): readonly number[] {
    return sent
      .filter(({ id, at }) => id.startsWith(prefix) && at >= since && at < until)
      .map(({ at }) => at);
  }

  function mostInOneSecond(times: readonly number[]): number {
    return Math.max(
      0,
      ...times.map((end) => times.filter((at) => at <= end && at > end - 1000).length),
    );
  }

  beforeEach(() => {
    clock = new virtualClock.VirtualClock();
    sent = [];
    refusals = [];
    serial = 0;
    const logService = new recordingLog.RecordingLogService();
    const metrics = new recordingMetrics.RecordingMetricsService();
    directory = new endpointDirectory.EndpointDirectory();
    cold = new coldEndpoints.ColdEndpoints({ clock, logService, metrics });
    cold.follow(directory);
    const caller: batching.IStageCaller = {
      run: async ({ id }, items) => {
        sent.push({ at: clock.monotonic(), id });
        await clock.sleep(100);
        return items.map(({ requestId }) => ({ handle: requestId }));
      },
      free: () => Promise.resolve(true),
    };
    coordinator = new coordinators.Coordinator({
      clock,
      caller,
      directory,
      ...blame.makeBlame(clock),
      rateLimiter: new sharedRateLimiter.SharedRateLimiter(cold, clock, () => true),
      logService,
      metrics,
    });
    const services = new Map<string, routing.IService>([
      ['stage', { name: 'stage', maxConnections: 4, batch: BATCH, warmUp: WARM_UP }],
      [
        'engine',
        {
          name: 'engine',
          maxConnections: 4,
          engine: { slots: 8, cacheTokens: 100_000 },
          warmUp: WARM_UP,
        },
      ],
    ]);
    cold.configure(services);
    coordinator.configure({
      version: 1,
      routes: [],
      services,
      limits: { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 },
    });
    list(...ENGINES);
  });

  it('gives a zone that returns wholly cold the rate that it bears, and the rest to warm zones', async () => {
    list(...ENGINES.filter((id) => !id.startsWith('a')));
    await load(90, 3000);
    list(...ENGINES);
    const returned = clock.monotonic();
    await load(90, 6000);
    ['a-1', 'a-2'].forEach((id) => {
      const whileCold = sentTo(id, returned, returned + WARM_UP.duration);
      expect(mostInOneSecond(whileCold)).toBeLessThanOrEqual(MOST_IN_ONE_SECOND);
      expect(whileCold.length).toBeGreaterThanOrEqual(0.9 * WARM_UP.rate * 3 - 1);
    });
    expect(refusals).toEqual([]);
    const warm = returned + WARM_UP.duration + 1000;
    const share = sentTo('a', warm).length / sentTo('', warm).length;
    expect(share).toBeGreaterThan(0.25);
    expect(share).toBeLessThan(0.42);
  });

  it('refuses at once what endpoints that are all cold do not bear', async () => {
    cold.recordListed(ENGINES.map((endpointId) => ({ endpointId, left: 6000 })));
    const start = clock.monotonic();
    await load(120, 5000);
    ENGINES.forEach((id) => {
      expect(mostInOneSecond(sentTo(id, start))).toBeLessThanOrEqual(MOST_IN_ONE_SECOND);
      expect(sentTo(id, start).length).toBeGreaterThanOrEqual(0.9 * WARM_UP.rate * 5 - 1);
    });
    expect(refusals.length).toBeGreaterThan(300);
    refusals.forEach(({ took }) => expect(took).toBeLessThanOrEqual(1000 / 8));
  });

  it('holds the rate of an endpoint that becomes cold again', async () => {
    await load(90, 2000);
    cold.recordListed([{ endpointId: 'b-1', left: 3000 }]);
    const start = clock.monotonic();
    await load(90, 6000);
    const times = sentTo('b-1', start);
    expect(mostInOneSecond(times.filter((at) => at < start + 3000))).toBeLessThanOrEqual(
      MOST_IN_ONE_SECOND,
    );
    expect(times.filter((at) => at >= start + 4000).length).toBeGreaterThan(15);
    expect(refusals).toEqual([]);
  });

  it('holds the rate of a stage endpoint that is new', async () => {
    list(...ENGINES, 'a-s1');
    await load(30, 1000, STAGES);
    list(...ENGINES, 'a-s1', 'b-s2');
    const start = clock.monotonic();
    await load(30, 6000, STAGES);
    const whileCold = sentTo('b-s2', start, start + WARM_UP.duration);
    expect(mostInOneSecond(whileCold)).toBeLessThanOrEqual(MOST_IN_ONE_SECOND);
    expect(whileCold.length).toBeGreaterThanOrEqual(0.8 * WARM_UP.rate * 3 - 1);
    expect(sentTo('b-s2', start + 4000).length).toBeGreaterThan(20);
  });
});
