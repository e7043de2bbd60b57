import * as vitest from 'vitest';
import * as connectionLimit from './ConnectionLimit.js';

const { describe, expect, test } = vitest;
const NOW = 100_000;

function view(change: Partial<connectionLimit.IConnectionView>): connectionLimit.IConnectionView {
  return {
    address: 'a',
    isUnfinished: false,
    isAnswering: false,
    isUsed: true,
    since: NOW - 2000,
    ...change,
  };
}

describe('chooseVictim', () => {
  test('takes an unfinished request before an unused connection, and that before an idle one', () => {
    const unfinished = view({ isUnfinished: true, since: NOW - 1000 });
    const unused = view({ isUsed: false });
    const idle = view({ since: NOW - 9000 });
    expect(connectionLimit.chooseVictim([idle, unused, unfinished], NOW)).toBe(unfinished);
    expect(connectionLimit.chooseVictim([idle, unused], NOW)).toBe(unused);
    expect(connectionLimit.chooseVictim([idle], NOW)).toBe(idle);
  });

  test('takes the oldest of a kind', () => {
    const older = view({ isUnfinished: true, since: NOW - 5000 });
    const newer = view({ isUnfinished: true, since: NOW - 4000 });
    expect(connectionLimit.chooseVictim([newer, older], NOW)).toBe(older);
  });

  test('leaves requests that wait for their answer, and connections that have just changed', () => {
    const answering = view({ isAnswering: true });
    const young = view({ isUnfinished: true, since: NOW - 10 });
    expect(connectionLimit.chooseVictim([answering, young], NOW)).toBeUndefined();
  });

  test('takes connections of an address that has most of them before those of others', () => {
    const other = view({ address: 'b', isUnfinished: true, since: NOW - 9000 });
    const own = view({ isUnfinished: true });
    expect(connectionLimit.chooseVictim([other, own, view({}), view({})], NOW)).toBe(own);
  });

  test('ignores addresses while none has most of the connections', () => {
    const other = view({ address: 'b', isUnfinished: true, since: NOW - 9000 });
    expect(connectionLimit.chooseVictim([other, view({ isUnfinished: true })], NOW)).toBe(other);
  });
});
