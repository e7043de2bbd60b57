import * as vitest from 'vitest';
import * as blame from '../blame/testing/Blame.js';
import type * as batching from '../batching/Types.js';
import * as manualClock from '../common/testing/ManualClock.js';
import * as recordingLog from '../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../common/testing/RecordingMetricsService.js';
import * as unlimitedRateLimiter from '../ratelimit/testing/UnlimitedRateLimiter.js';
import * as endpointDirectory from '../routing/EndpointDirectory.js';
import type * as routing from '../routing/Types.js';
import * as coordinators from './Coordinator.js';
import type * as types from './Types.js';

const { beforeEach, describe, expect, it } = vitest;
const CALL_MS = 100;
const ZONES = ['a', 'b', 'c'];
const STAGE: routing.IStage = { service: 'stage', after: [], resultBytes: 10 };

/** Records the zones of the endpoints that ran and freed stage items. */
class ZoneRecorder implements batching.IStageCaller {
  readonly ranIn: string[] = [];

  readonly freedIn: string[] = [];

  constructor(private readonly clock: manualClock.ManualClock) {}

  async run(
    { availabilityZone }: routing.IEndpoint,
    items: readonly batching.IStageItem[],
  ): Promise<readonly batching.ItemOutcome[]> {
    this.ranIn.push(availabilityZone);
    await this.clock.sleep(CALL_MS);
    return items.map(({ requestId, segment }) => ({ handle: `${requestId}/${segment}` }));
  }

  async free({ availabilityZone }: routing.IEndpoint): Promise<boolean> {
    this.freedIn.push(availabilityZone);
    return true;
  }
}

describe('Coordinator, while zones are out of service', () => {
  let clock: manualClock.ManualClock;
  let caller: ZoneRecorder;
  let directory: endpointDirectory.EndpointDirectory;
  let coordinator: coordinators.Coordinator;
  let plans = 0;

  beforeEach(() => {
    clock = new manualClock.ManualClock();
    caller = new ZoneRecorder(clock);
    directory = new endpointDirectory.EndpointDirectory();
    coordinator = new coordinators.Coordinator({
      clock,
      caller,
      directory,
      ...blame.makeBlame(clock),
      rateLimiter: new unlimitedRateLimiter.UnlimitedRateLimiter(),
      logService: new recordingLog.RecordingLogService(),
      metrics: new recordingMetrics.RecordingMetricsService(),
    });
    const batch = {
      maxConcurrentCalls: 1,
      maxItemsPerCall: 2,
      callCost: CALL_MS,
      itemCost: 1,
      resultCapacityBytes: 1000,
      resultRetention: 4000,
    };
    const services = new Map<string, routing.IService>([
      ['stage', { name: 'stage', maxConnections: 4, batch }],
      ['engine', { name: 'engine', maxConnections: 4, engine: { slots: 4, cacheTokens: 1000 } }],
    ]);
    const limits = { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 };
    coordinator.configure({ version: 1, routes: [], services, limits });
    const endpoints = ['stage', 'engine'].flatMap((service) =>
      ZONES.map((availabilityZone) => ({
        id: `${service}-${availabilityZone}`,
        service,
        address: `10.0.0.1:${service.length}`,
        availabilityZone,
        slots: 4,
        draining: false,
      })),
    );
    directory.replace({ revision: 1, endpoints });
  });

  function plan(change: Partial<types.IPlanRequest> = {}): Promise<types.PlanOutcome> {
    plans += 1;
    return coordinator.plan({
      planId: `r${plans}#1`,
      requestId: `r${plans}`,
      service: 'engine',
      stages: [STAGE],
      pieces: [2],
      pieceKey: 'k',
      priority: 0,
      goalLeft: 3000,
      deadlineLeft: 10_000,
      prompt: { parts: [], tokensIn: 10, tokensOut: 10 },
      avoid: [],
      held: [],
      ...change,
    });
  }

  async function zonesOf(count: number): Promise<readonly string[]> {
    const planned = Array.from({ length: count }, () => plan());
    await clock.advance(count * CALL_MS);
    const outcomes = await Promise.all(planned);
    return outcomes.map((outcome) =>
      outcome.kind === 'ready' ? outcome.endpoint.availabilityZone : outcome.reason,
    );
  }

  it('places stages and requests elsewhere, and there again after the zone returns', async () => {
    directory.closeZones({ revision: 1, zones: ['b'] });
    const zones = await zonesOf(12);
    expect(new Set([...zones, ...caller.ranIn])).toEqual(new Set(['a', 'c']));
    directory.closeZones({ revision: 2, zones: [] });
    expect(new Set(await zonesOf(12))).toEqual(new Set(ZONES));
    expect(new Set(caller.ranIn)).toEqual(new Set(ZONES));
  });

  it('moves what waited for the zone over the others, and not all to one', async () => {
    directory.closeZones({ revision: 1, zones: ['a', 'c'] });
    const planned = Array.from({ length: 8 }, () => plan());
    await clock.advance(CALL_MS / 2);
    directory.closeZones({ revision: 2, zones: ['b'] });
    await clock.advance(8 * CALL_MS);
    const outcomes = await Promise.all(planned);
    const zones = outcomes.map((outcome) =>
      outcome.kind === 'ready' ? outcome.endpoint.availabilityZone : outcome.reason,
    );
    expect(caller.ranIn.filter((zone) => zone === 'b')).toHaveLength(1);
    ['a', 'c'].forEach((zone) => {
      expect(zones.filter((other) => other === zone).length).toBeGreaterThanOrEqual(3);
      expect(caller.ranIn.filter((other) => other === zone).length).toBeGreaterThanOrEqual(3);
    });
  });

  it('lets a call there end, uses its result, and frees it there', async () => {
    directory.closeZones({ revision: 1, zones: ['a', 'c'] });
    const planned = plan();
    await clock.advance(CALL_MS / 2);
    directory.closeZones({ revision: 2, zones: ['b'] });
    await clock.advance(CALL_MS);
    expect(await planned).toMatchObject({ kind: 'ready', inputs: [`r${plans}/0`, `r${plans}/1`] });
    expect(caller.ranIn).toEqual(['b']);
    coordinator.markStarted(`r${plans}#1`, true);
    await clock.advance(CALL_MS);
    expect(caller.freedIn).toEqual(['b']);
  });

  it('refuses a new request at once if nothing in service can run it', async () => {
    directory.closeZones({ revision: 1, zones: ZONES });
    const refusal = { kind: 'refused', reason: 'no-endpoint', retryAfter: 1000 };
    expect(await plan()).toEqual(refusal);
    expect(await plan({ stages: [], pieces: [] })).toEqual(refusal);
    expect(caller.ranIn).toEqual([]);
  });

  it('refuses requests that wait for a stage or an engine at once when the last zone closes', async () => {
    directory.closeZones({ revision: 1, zones: ['a', 'c'] });
    const planned = Array.from({ length: 4 }, () => plan());
    await clock.advance(CALL_MS / 2);
    directory.closeZones({ revision: 2, zones: ZONES });
    await clock.advance(1);
    const refusal = { kind: 'refused', reason: 'no-endpoint', retryAfter: 1000 };
    expect(await Promise.all(planned)).toEqual(planned.map(() => refusal));
    await clock.advance(1000);
    expect(caller.ranIn).toEqual(['b']);
  });

  it('replaces a placed engine whose zone has closed by another one, without blame', async () => {
    directory.closeZones({ revision: 1, zones: ['a', 'c'] });
    const planned = plan();
    await clock.advance(2 * CALL_MS);
    expect(await planned).toMatchObject({ endpoint: { id: 'engine-b' } });
    directory.closeZones({ revision: 2, zones: ['b', 'c'] });
    expect(await coordinator.reassign(`r${plans}#1`, 'engine-b', 'limited')).toMatchObject({
      kind: 'ready',
      endpoint: { id: 'engine-a' },
    });
  });
});
