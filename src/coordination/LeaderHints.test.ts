import * as vitest from 'vitest';
import * as virtualClock from '../common/testing/VirtualClock.js';
import * as leaderHints from './LeaderHints.js';

const { beforeEach, describe, expect, test } = vitest;

describe('LeaderHints', () => {
  let clock: virtualClock.VirtualClock;
  let hints: leaderHints.LeaderHints;

  beforeEach(() => {
    clock = new virtualClock.VirtualClock();
    hints = new leaderHints.LeaderHints(clock);
    hints.recordCoordinator({ address: 'former', term: 5 });
  });

  test('ignores a leader of an earlier term that a cut-off follower reports', () => {
    hints.record({ address: 'earlier', term: 4 });
    expect(hints.address).toBeUndefined();
    hints.record({ address: 'next', term: 6 });
    hints.record({ address: 'former', term: 5 });
    expect(hints.address).toBe('next');
  });

  test('keeps the leader that a search found while the connected follower knows none', () => {
    hints.record({ address: 'next', term: 6 });
    hints.record(undefined);
    expect(hints.take()).toBe('next');
    expect(hints.address).toBeUndefined();
  });

  test('does not return at once to a new leader that did not answer, though followers report it', async () => {
    hints.record({ address: 'next', term: 6 });
    expect(hints.take()).toBe('next');
    hints.recordUnreachable('next');
    hints.record({ address: 'next', term: 6 });
    expect(hints.address).toBeUndefined();
    await clock.advance(1000);
    hints.record({ address: 'next', term: 6 });
    expect(hints.address).toBe('next');
  });

  test('follows a leader that did not answer once it was elected again', () => {
    hints.recordUnreachable('former');
    hints.record({ address: 'former', term: 5 });
    expect(hints.address).toBeUndefined();
    hints.record({ address: 'former', term: 6 });
    expect(hints.address).toBe('former');
  });

  test('follows the leader of a group that was founded anew, whose terms are lower', () => {
    hints.record({ address: 'new', term: 2 });
    expect(hints.address).toBeUndefined();
    hints.forgetTerm();
    hints.record({ address: 'new', term: 2 });
    expect(hints.address).toBe('new');
  });
});
