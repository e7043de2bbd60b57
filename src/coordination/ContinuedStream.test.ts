import * as vitest from 'vitest';
import * as blame from '../blame/testing/Blame.js';
import * as manualClock from '../common/testing/ManualClock.js';
import * as recordingLog from '../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../common/testing/RecordingMetricsService.js';
import * as unlimitedRateLimiter from '../ratelimit/testing/UnlimitedRateLimiter.js';
import * as endpointDirectory from '../routing/EndpointDirectory.js';
import type * as routing from '../routing/Types.js';
import * as coordinators from './Coordinator.js';
import type * as types from './Types.js';

const { describe, expect, it } = vitest;
const CALL_MS = 250;
const ITEM_MS = 10;
const ITEMS_PER_CALL = 10;
const GOAL_MS = 2000;
const DEADLINE_MS = 15_000;
/** Time left to callers that waited eight seconds for the next event of a stream before they took it up. */
const CONTINUED_DEADLINE_MS = 7000;
const LOAD_MS = 20_000;
/** Streams are taken up together after this time. */
const BREAK_MS = 8000;
const CONTINUED_COUNT = 30;
/** New requests a second, twice what the stages can process. */
const RATE_PER_S = 116;
const LEAST_CONTINUED = 0.9;
const STAGES: readonly routing.IStage[] = [
  { service: 'first', after: [], resultBytes: 10 },
  { service: 'second', after: [0], resultBytes: 10 },
  { service: 'third', after: [1], resultBytes: 10 },
];

class Counts {
  asked = 0;

  placed = 0;

  late = 0;

  recordAsked(): void {
    this.asked += 1;
  }

  recordPlaced(isLate: boolean): void {
    this.placed += 1;
    this.late += isLate ? 1 : 0;
  }
}

describe('streams that are taken up while twice the load that stages can process arrives', () => {
  it('go on, although most new requests are refused', async () => {
    const clock = new manualClock.ManualClock();
    const directory = new endpointDirectory.EndpointDirectory();
    const run = async (
      _endpoint: routing.IEndpoint,
      items: readonly unknown[],
    ): Promise<readonly { readonly handle: string }[]> => {
      await clock.sleep(CALL_MS + items.length * ITEM_MS);
      return items.map((_, at) => ({ handle: `${clock.now()}/${at}` }));
    };
    const coordinator = new coordinators.Coordinator({
      clock,
      caller: { run, free: async () => true },
      directory,
      ...blame.makeBlame(clock),
      rateLimiter: new unlimitedRateLimiter.UnlimitedRateLimiter(),
      logService: new recordingLog.RecordingLogService(),
      metrics: new recordingMetrics.RecordingMetricsService(),
    });
    const batch = {
      maxConcurrentCalls: 1,
      maxItemsPerCall: ITEMS_PER_CALL,
      callCost: CALL_MS,
      itemCost: ITEM_MS,
      resultCapacityBytes: 100_000,
      resultRetention: 4000,
    };
    const engine = { slots: 64, cacheTokens: 1_000_000 };
    const services = new Map<string, routing.IService>([
      ...STAGES.map(({ service: name }) => [name, { name, maxConnections: 9, batch }] as const),
      ['engine', { name: 'engine', maxConnections: 9, engine }],
    ]);
    const limits = { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 };
    coordinator.configure({ version: 1, routes: [], services, limits });
    const endpoints = [...STAGES.map(({ service }) => service), 'engine'].flatMap((service) =>
      [0, 1].map((at) => ({
        id: `${service}-${at}`,
        service,
        address: '127.0.0.1:1',
        availabilityZone: 'a',
        slots: 64,
        draining: false,
        version: 'v1',
      })),
    );
    directory.replace({ revision: 1, endpoints });

    const fresh = new Counts();
    const continued = new Counts();
    const ask = (counts: Counts, change: Partial<types.IPlanRequest>): void => {
      counts.recordAsked();
      const requestId = `r${fresh.asked}-${continued.asked}`;
      const startedAt = clock.monotonic();
      const planId = `${requestId}#1`;
      void coordinator
        .plan({
          planId,
          requestId,
          service: 'engine',
          stages: STAGES,
          pieces: [1, 1, 1],
          pieceKey: 'k',
          priority: 1,
          goalLeft: GOAL_MS,
          deadlineLeft: DEADLINE_MS,
          prompt: { parts: [], tokensIn: 1, tokensOut: 1 },
          avoid: [],
          held: [],
          ...change,
        })
        .then(({ kind }) => {
          if (kind === 'ready') {
            counts.recordPlaced(clock.monotonic() - startedAt > GOAL_MS);
            coordinator.markStarted(planId, true);
            coordinator.markEnded(planId);
          }
        });
    };
    const interval = 1000 / RATE_PER_S;
    for (let at = 0; at < LOAD_MS; at += interval) {
      if (at >= BREAK_MS && continued.asked < CONTINUED_COUNT) {
        ask(continued, { version: 'v1', deadlineLeft: CONTINUED_DEADLINE_MS });
      }
      ask(fresh, {});
      await clock.advance(interval);
    }
    await clock.advance(DEADLINE_MS);
    process.stdout.write(`${JSON.stringify({ fresh, continued })}\n`);
    expect(fresh.placed / fresh.asked).toBeLessThan(0.7);
    expect(continued.placed / continued.asked).toBeGreaterThanOrEqual(LEAST_CONTINUED);
  });
});
