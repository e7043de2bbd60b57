import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import * as seededRandom from '../../common/SeededRandom.js';
import * as manualClock from '../../common/testing/ManualClock.js';
import * as recordingLog from '../../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../../common/testing/RecordingMetricsService.js';
import type * as configTypes from '../../config/Types.js';
import * as decisionOptions from '../DecisionOptions.js';
import * as latencyTable from '../stage/LatencyTable.js';
import * as fixtures from '../testing/Fixtures.js';
import type * as entryTypes from '../Types.js';
import * as endpointPicker from './EndpointPicker.js';
import * as subset from './Subset.js';

const SEED = 3;

class PickerBench {
  readonly clock = new manualClock.ManualClock();

  readonly options: decisionOptions.IDecisionOptions;

  readonly latencies: latencyTable.LatencyTable;

  readonly picker: endpointPicker.EndpointPicker;

  readonly closed = new Set<string>();

  private readonly ctx: entryTypes.IRequestContext;

  constructor(
    readonly pool: configTypes.IPool,
    overrides: decisionOptions.DecisionOverrides = {},
  ) {
    this.options = decisionOptions.decisionOptions(overrides);
    this.latencies = new latencyTable.LatencyTable(this.options.deadline, this.clock);
    this.picker = new endpointPicker.EndpointPicker({ id: 'e', zone: 'a' }, this.options, {
      clock: this.clock,
      random: new seededRandom.SeededRandom(SEED),
      log: new recordingLog.RecordingLogService(),
      metrics: new recordingMetrics.RecordingMetricsService(),
      membership: { accepts: (name) => !this.closed.has(name), observe: () => {} },
      latencies: this.latencies,
    });
    this.ctx = fixtures.makeRequest(this.clock, { id: 'r' }).ctx;
  }

  pick(hints: Partial<entryTypes.IPickHints> = {}): entryTypes.IEndpointChoice | undefined {
    return this.picker.pick(this.pool, this.ctx, { tried: [], ...hints });
  }

  /** Picks an endpoint and settles the choice at once, so that no call stays in flight. */
  pickAndSettle(
    outcome: entryTypes.IAttemptOutcome,
    hints: Partial<entryTypes.IPickHints> = {},
  ): string {
    const choice = this.pick(hints);
    choice?.settle(outcome);
    return choice?.endpoint.name ?? '';
  }

  /** Settles `count` calls, each with the latency of its endpoint; returns the calls per endpoint. */
  async settleCalls(
    count: number,
    latencyOf: (name: string) => number,
  ): Promise<Map<string, number>> {
    const counts = new Map<string, number>();
    for (let index = 0; index < count; index++) {
      const choice = this.pick({ key: 'k' });
      const name = choice?.endpoint.name ?? '';
      counts.set(name, (counts.get(name) ?? 0) + 1);
      this.latencies.record('k', latencyOf(name));
      choice?.settle({ ok: true, latency: latencyOf(name) });
      await this.clock.advance(5);
    }
    return counts;
  }
}

vitest.describe('EndpointPicker', () => {
  vitest.it('chooses the endpoint with the lowest score when all are candidates', () => {
    const property = fastCheck.property(
      fastCheck.array(fastCheck.nat(5), { minLength: 6, maxLength: 6 }),
      (loads) => {
        const bench = new PickerBench(fixtures.makePool(6), { routing: { candidates: 6 } });
        const callsInFlight = new Map<string, number>();
        // Puts `load` calls on each endpoint by listing all others as tried.
        loads.forEach((load, index) => {
          const name = bench.pool.endpoints[index]?.name ?? '';
          const others = bench.pool.endpoints.map((item) => item.name).filter((x) => x !== name);
          for (let call = 0; call < load; call++) {
            bench.pick({ tried: others });
          }
          callsInFlight.set(name, load);
        });
        const score = (endpoint: configTypes.IEndpoint): number =>
          (callsInFlight.get(endpoint.name) ?? 0) + (endpoint.zone === 'a' ? 0 : 0.5);
        const least = Math.min(...bench.pool.endpoints.map(score));
        const choice = bench.pick();
        vitest.expect(choice && score(choice.endpoint)).toBe(least);
      },
    );
    fastCheck.assert(property, { seed: SEED, numRuns: 60 });
  });

  vitest.it('sends few calls to a straggler and more again after it recovers', async () => {
    const bench = new PickerBench(fixtures.makePool(8));
    await bench.settleCalls(200, () => 20);
    const slow = await bench.settleCalls(800, (name) => (name === 'llm-3' ? 200 : 20));
    vitest.expect(slow.get('llm-3') ?? 0).toBeLessThan(20);
    await bench.clock.advance(60_000);
    const recovered = await bench.settleCalls(800, () => 20);
    vitest.expect(recovered.get('llm-3') ?? 0).toBeGreaterThan(30);
  });

  vitest.it('ejects an endpoint that fails while its peers do not', () => {
    const bench = new PickerBench(fixtures.makePool(4));
    for (let index = 0; index < 50; index++) {
      const choice = bench.pick();
      const bad = choice?.endpoint.name === 'llm-2';
      choice?.settle(
        bad ? { ok: false, failure: 'endpoint-error', latency: 1 } : { ok: true, latency: 1 },
      );
    }
    const after = Array.from({ length: 50 }, () => bench.pickAndSettle({ ok: true, latency: 1 }));
    vitest.expect(after).not.toContain('llm-2');
  });

  vitest.it('keeps endpoints in use when all of the pool fail', () => {
    const bench = new PickerBench(fixtures.makePool(4));
    const failed = { ok: false, failure: 'endpoint-error', latency: 1 } as const;
    const names = Array.from({ length: 200 }, () => bench.pickAndSettle(failed));
    vitest.expect(names).not.toContain('');
    vitest.expect(new Set(names.slice(100)).size).toBeGreaterThanOrEqual(2);
  });

  vitest.it('sends no calls to an endpoint that membership does not accept', () => {
    const bench = new PickerBench(fixtures.makePool(3));
    bench.closed.add('llm-1');
    bench.closed.add('llm-2');
    const names = Array.from({ length: 20 }, () => bench.pickAndSettle({ ok: true, latency: 1 }));
    vitest.expect(new Set(names)).toEqual(new Set(['llm-3']));
    bench.closed.add('llm-3');
    vitest.expect(bench.pick()).toBeUndefined();
  });

  vitest.it(
    'sends no calls to a closed zone, not even if all others fail, until it returns',
    () => {
      const bench = new PickerBench(fixtures.makePool(4));
      bench.picker.updateConfiguration(fixtures.makeConfiguration([bench.pool]));
      const running = bench.pick();
      bench.picker.closeZones(['b']);
      const failed = { ok: false, failure: 'endpoint-error', latency: 1 } as const;
      const names = Array.from({ length: 100 }, () => bench.pickAndSettle(failed));
      vitest.expect(new Set(names)).toEqual(new Set(['llm-1', 'llm-3']));
      running?.settle({ ok: true, latency: 1 });
      const watched = bench.picker.watchedEndpoints().map(({ name }) => name);
      vitest.expect(new Set(watched)).toEqual(new Set(['llm-1', 'llm-3']));
      bench.picker.closeZones(['a', 'b']);
      vitest.expect(bench.pick()).toBeUndefined();
      bench.picker.closeZones([]);
      const back = bench.pick({ tried: ['llm-1', 'llm-3'] })?.endpoint.zone;
      vitest.expect(back).toBe('b');
    },
  );

  vitest.it('prefers the holder of a prefix until its load outweighs the bonus', () => {
    const bench = new PickerBench(fixtures.makePool(8));
    const holder = bench.pickAndSettle({ ok: true, latency: 1 }, { prefix: 'p' });
    const first = bench.pick({ prefix: 'p' });
    vitest.expect(first?.endpoint.name).toBe(holder);
    const names = Array.from({ length: 12 }, () => bench.pick({ prefix: 'p' })?.endpoint.name);
    vitest.expect(new Set(names).size).toBeGreaterThan(1);
  });

  vitest.it('invalidates the prefixes of an endpoint at a gap in its cache events', () => {
    const { prefixes } = new PickerBench(fixtures.makePool(2)).picker;
    prefixes.observe('llm-1', { seq: 1, type: 'stored', prefix: 'p' });
    prefixes.observe('llm-1', { seq: 2, type: 'stored', prefix: 'q' });
    vitest.expect(prefixes.holders('p')).toEqual(['llm-1']);
    prefixes.observe('llm-1', { seq: 4, type: 'stored', prefix: 'r' });
    vitest.expect(prefixes.holders('p')).toEqual([]);
    vitest.expect(prefixes.holders('r')).toEqual(['llm-1']);
    prefixes.observe('llm-1', { seq: 3, type: 'stored', prefix: 'late' });
    vitest.expect(prefixes.holders('late')).toEqual([]);
    prefixes.observe('llm-1', { seq: 5, type: 'removed', prefix: 'r' });
    vitest.expect(prefixes.holders('r')).toEqual([]);
  });

  vitest.it('chooses a bounded, stable subset that is balanced over zones', () => {
    const { endpoints } = fixtures.makePool(1_000);
    const before = subset.chooseSubset('entry-1', endpoints, 48);
    const after = subset.chooseSubset('entry-1', endpoints.slice(1), 48);
    vitest.expect(before).toHaveLength(48);
    vitest.expect(before.filter((endpoint) => endpoint.zone === 'a')).toHaveLength(24);
    const kept = after.filter((endpoint) => before.includes(endpoint)).length;
    vitest.expect(kept).toBeGreaterThanOrEqual(47);
    const watchers = new Map<string, number>();
    for (let entry = 0; entry < 100; entry++) {
      subset
        .chooseSubset(`entry-${entry}`, endpoints, 48)
        .forEach(({ name }) => watchers.set(name, (watchers.get(name) ?? 0) + 1));
    }
    vitest.expect(watchers.size).toBeGreaterThan(980);
  });
});
