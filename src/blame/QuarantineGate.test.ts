import * as vitest from 'vitest';
import * as manualClock from '../common/testing/ManualClock.js';
import type * as blameTable from './BlameTable.js';
import * as quarantineGate from './QuarantineGate.js';
import * as blame from './testing/Blame.js';
import type * as types from './Types.js';
import * as verdictRules from './VerdictRules.js';

const { beforeEach, describe, expect, it } = vitest;

function traitsOf(request: string): types.IRequestTraits {
  return { request, parts: ['part'] };
}

describe('QuarantineGate', () => {
  let clock: manualClock.ManualClock;
  let table: blameTable.BlameTable;
  let gate: quarantineGate.QuarantineGate;

  function crash(request: string): void {
    const at = clock.monotonic();
    table.recordCrash({
      id: `c-${at}`,
      endpointId: 'e',
      at,
      suspects: [{ ...traitsOf(request), placedAt: at - 10 }],
    });
  }

  function admits(id: string): boolean {
    return gate.admit(id, traitsOf(id)) === undefined;
  }

  beforeEach(async () => {
    clock = new manualClock.ManualClock();
    table = blame.makeTable(clock);
    gate = new quarantineGate.QuarantineGate(table, clock, true);
    crash('a');
    await clock.advance(2000);
    crash('b');
  });

  it('refuses all requests for the time of the quarantine, then admits one', async () => {
    await clock.advance(verdictRules.QUARANTINE_MS - 1);
    expect(gate.admit('c', traitsOf('c'))).toEqual({ trait: 'part', retryAfter: 1 });
    await clock.advance(1);
    expect(['c', 'd', 'c'].map(admits)).toEqual([true, false, true]);
    expect(gate.admit('e', { request: 'e', parts: ['other'] })).toBeUndefined();
  });

  it('admits all requests once the trial succeeds', async () => {
    await clock.advance(verdictRules.QUARANTINE_MS);
    expect(admits('c')).toBe(true);
    table.recordProof(traitsOf('c'));
    expect(['d', 'e'].map(admits)).toEqual([true, true]);
  });

  it('refuses all requests again once the trial crashes its endpoint', async () => {
    await clock.advance(verdictRules.QUARANTINE_MS);
    expect(admits('c')).toBe(true);
    gate.release('c');
    // The crash is not known yet.
    expect(admits('c')).toBe(false);
    crash('c');
    await clock.advance(2 * verdictRules.QUARANTINE_MS - 1);
    expect(admits('d')).toBe(false);
    await clock.advance(1);
    expect(admits('d')).toBe(true);
  });

  it('admits another trial when one has no outcome', async () => {
    await clock.advance(verdictRules.QUARANTINE_MS);
    expect(admits('c')).toBe(true);
    await clock.advance(9999);
    expect(admits('d')).toBe(false);
    await clock.advance(1);
    expect(admits('d')).toBe(true);
    gate.release('d');
    await clock.advance(1000);
    expect(admits('e')).toBe(true);
  });

  it('admits one request with one of two rival parts at once', async () => {
    const other = blame.makeTable(clock);
    const rivals = new quarantineGate.QuarantineGate(other, clock, true);
    for (let count = 0; count < 3; count++) {
      await clock.advance(2000);
      const at = clock.monotonic();
      const suspects = [{ request: `${count}`, parts: ['p', 'q'], placedAt: at - 10 }];
      other.recordCrash({ id: `${count}`, endpointId: 'e', at, suspects });
    }
    const admitted = [['p', 'q'], ['p'], ['q'], ['p']].map(
      (parts, id) => rivals.admit(`${id}`, { request: `r${id}`, parts }) === undefined,
    );
    expect(admitted).toEqual([false, true, false, false]);
    other.recordProof({ request: 'r1', parts: ['p'] });
    expect(rivals.admit('4', { request: 'r4', parts: ['p'] })).toBeUndefined();
    expect(rivals.admit('5', { request: 'r5', parts: ['q'] })).toBeDefined();
  });

  it('admits no trial where trials are for others', async () => {
    const other = new quarantineGate.QuarantineGate(table, clock, false);
    await clock.advance(verdictRules.QUARANTINE_MS);
    expect(other.admit('c', traitsOf('c'))).toMatchObject({ trait: 'part' });
  });
});
