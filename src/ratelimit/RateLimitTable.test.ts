import * as fastCheck from 'fast-check';
import * as vitest from 'vitest';
import * as manualClock from '../common/testing/ManualClock.js';
import * as recordingLog from '../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../common/testing/RecordingMetricsService.js';
import * as rateLimitTable from './RateLimitTable.js';
import type * as types from './Types.js';

const { beforeEach, describe, expect, it, test } = vitest;

let clock: manualClock.ManualClock;

function makeTable(): rateLimitTable.RateLimitTable {
  return new rateLimitTable.RateLimitTable({
    clock,
    logService: new recordingLog.RecordingLogService(),
    metrics: new recordingMetrics.RecordingMetricsService(),
  });
}

function state(
  table: rateLimitTable.RateLimitTable,
  limit: types.IRateLimitStatement['limit'],
  change: Partial<types.IRateLimitStatement> = {},
): void {
  const sentAt = clock.monotonic();
  table.recordStatement({ endpointId: 'e', limit, origin: 'answer', sentAt, ...change });
}

beforeEach(() => {
  clock = new manualClock.ManualClock();
});

describe('a rate limit that responses state', () => {
  let table: rateLimitTable.RateLimitTable;

  /** Records responses whose requests are sent one after the other. */
  async function stateInTurn(
    ...statements: readonly (readonly [
      types.IRateLimitStatement['limit'],
      types.StatementOrigin?,
    ])[]
  ): Promise<void> {
    for (const [limit, origin = 'answer'] of statements) {
      await clock.advance(10);
      state(table, limit, { origin });
    }
  }

  beforeEach(() => {
    table = makeTable();
  });

  test.each([
    ['falls', [[4], [1]], 1],
    ['rises', [[1], [4]], 4],
    ['has decimals', [[0.25]], 0.25],
    ['is zero', [[0]], 0],
    ['is missing on the next answer', [[1], ['none']], undefined],
    ['is missing on a rejection or a server error', [[1], ['none', 'failure']], 1],
    ['is missing on a response of another endpoint', [[1], ['none', 'unverified']], 1],
    ['is unreadable', [[1], ['unreadable']], 1],
    ['is unreadable from the start', [['unreadable']], undefined],
    ['is named by a rejection or a server error', [[2, 'failure']], 2],
    ['is named by a response of another endpoint', [[2, 'unverified']], undefined],
    ['is lifted and named again', [[1], ['none'], [3]], 3],
  ] as const)('that %s', async (_case, statements, limit) => {
    await stateInTurn(...statements);
    expect(table.limitOf('e')).toBe(limit);
  });

  it('is not lifted by an answer to a request that was sent before the limit was known', async () => {
    const sentAt = clock.monotonic();
    await clock.advance(100);
    state(table, 1);
    await clock.advance(100);
    state(table, 'none', { sentAt });
    expect(table.limitOf('e')).toBe(1);
  });

  it('holds with its lower value when the order of two answers is unknown', async () => {
    const sentAt = clock.monotonic();
    await clock.advance(100);
    state(table, 1, { sentAt });
    await clock.advance(100);
    state(table, 4, { sentAt });
    expect(table.limitOf('e')).toBe(1);
  });

  it('is forgotten a minute after its endpoint left the list, and not while that is listed', async () => {
    state(table, 1);
    await clock.advance(59_000);
    table.retain(new Set());
    expect(table.limitOf('e')).toBe(1);
    await clock.advance(2000);
    table.retain(new Set(['e']));
    expect(table.limitOf('e')).toBe(1);
    table.retain(new Set());
    expect(table.limitOf('e')).toBeUndefined();
  });
});

describe('tables that exchange observations', () => {
  function observe(table: rateLimitTable.RateLimitTable): types.IRateLimitObservation {
    return table.observationOf('e') as types.IRateLimitObservation;
  }

  it('pass on a limit and its end', async () => {
    const [first, second] = [makeTable(), makeTable()];
    state(first, 2);
    second.merge([observe(first)], 'peer');
    expect(second.limitOf('e')).toBe(2);
    await clock.advance(10);
    state(first, 'none');
    second.merge([observe(first)], 'peer');
    expect(second.limitOf('e')).toBeUndefined();
  });

  it('correct a VM that reports a limit which has been lifted since', async () => {
    const [informed, outdated] = [makeTable(), makeTable()];
    state(outdated, 2);
    informed.merge([observe(outdated)], 'peer');
    await clock.advance(1000);
    state(informed, 'none');
    await clock.advance(1000);
    const newer = informed.merge([observe(outdated)], 'peer');
    expect(informed.limitOf('e')).toBeUndefined();
    expect(outdated.merge(newer, 'peer')).toEqual([]);
    expect(outdated.limitOf('e')).toBeUndefined();
  });

  it('agree in whatever order the observations of sequential answers arrive', async () => {
    const statement = fastCheck.constantFrom(0, 0.5, 1, 4, 'none' as const);
    await fastCheck.assert(
      fastCheck.asyncProperty(
        fastCheck.array(statement, { minLength: 1, maxLength: 6 }),
        fastCheck.integer(),
        async (statements, order) => {
          clock = new manualClock.ManualClock();
          const sources: rateLimitTable.RateLimitTable[] = [];
          for (const limit of [1, ...statements]) {
            // Each answer reaches another VM, and only the first limit is known to all.
            const source = makeTable();
            state(source, 1);
            await clock.advance(10);
            state(source, limit);
            await clock.advance(10);
            sources.push(source);
          }
          const target = makeTable();
          sources
            .map((source, at) => ({ source, rank: (order * (at + 7919)) % 31 }))
            .sort((a, b) => a.rank - b.rank)
            .forEach(({ source }) => target.merge([observe(source)], 'peer'));
          const last = statements.at(-1);
          expect(target.limitOf('e')).toBe(last === 'none' ? undefined : last);
        },
      ),
      { seed: 7, numRuns: 100 },
    );
  });
});
