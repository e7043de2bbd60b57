import * as vitest from 'vitest';
import type * as freezableClock from './testing/FreezableClock.js';
import * as simulatedGroup from './testing/SimulatedGroup.js';

const { describe, expect, it } = vitest;
/** Timeouts of the control group of an entry fleet. */
const LARGE_TUNING = {
  ...simulatedGroup.TUNING,
  heartbeatMs: 80,
  electionTimeoutMs: 420,
  callTimeoutMs: 500,
};

async function startLargeGroup() {
  const ids = ['c1', 'c2', 'c3', 'c4', 'c5', 'c6'];
  const group = new simulatedGroup.SimulatedGroup(1, ids, 4, LARGE_TUNING);
  const leader = await group.startAll();
  await group.clock.advance(1000);
  return { group, ...leader };
}

/** Delays the leader twice in a row; between the delays it sends heartbeats and reads no answers. */
async function delayTwice(
  group: simulatedGroup.SimulatedGroup,
  clock: freezableClock.FreezableClock,
): Promise<void> {
  clock.freeze();
  await group.clock.advance(100);
  clock.thaw();
  await group.clock.advance(0);
  clock.freeze();
  await group.clock.advance(319);
  clock.thaw();
}

it('a leader that loses its quorum reports how long each voter has been silent', async () => {
  const group = new simulatedGroup.SimulatedGroup(3);
  const { id } = await group.startAll();
  const others = group.foundingIds.filter((each) => each !== id);
  group.network.isolate(id);
  await group.clock.advance(1000);
  const { fields } = group.logService.events.find(({ event }) => event === 'quorum-lost') ?? {};
  expect(fields).toMatchObject({ replica: id, timeout: 200, eventLoopDelay: 0 });
  const silences = String(fields?.silences).split(' ');
  expect(silences.map((each) => each.split('=')[0])).toEqual(others);
  silences.forEach((each) => expect(Number(each.split('=')[1])).toBeGreaterThan(200));
  group.dispose();
});

it('a leader whose process was stopped reports the delay of its event loop', async () => {
  const group = new simulatedGroup.SimulatedGroup(3);
  const { clock } = await group.startAll();
  clock.freeze();
  await group.clock.advance(500);
  clock.thaw();
  await group.clock.advance(500);
  const { fields } = group.logService.events.find(({ event }) => event === 'quorum-lost') ?? {};
  expect(fields?.eventLoopDelay).toBeGreaterThan(400);
  group.dispose();
});

describe('a leader whose event loop is late, so that answers of its voters lie unread,', () => {
  it('does not step down for a silence that is its own delay', async () => {
    const { group, id, log, clock } = await startLargeGroup();
    const { term } = log.status();
    await delayTwice(group, clock);
    await group.clock.advance(1000);
    const names = group.logService.events.map(({ event }) => event);
    expect(names).not.toContain('quorum-lost');
    expect(names.filter((name) => name === 'leadership-won')).toHaveLength(1);
    expect(group.leader()?.log.status()).toMatchObject({ id, term });
    group.dispose();
  });

  it('does not vouch for its state until a quorum has answered', async () => {
    const { group, log, clock } = await startLargeGroup();
    expect(log.status().isStateCurrent).toBe(true);
    await delayTwice(group, clock);
    expect(log.status()).toMatchObject({ role: 'leader', isStateCurrent: false });
    await group.clock.advance(20);
    expect(log.status()).toMatchObject({ role: 'leader', isStateCurrent: true });
    group.dispose();
  });

  it.each([
    { name: 'once', delay: 319, pause: 2000 },
    { name: 'again and again', delay: 100, pause: 20 },
  ])('and that is cut off steps down within two election timeouts: $name', async (given) => {
    const { group, id, log, clock } = await startLargeGroup();
    group.network.isolate(id);
    const end = group.clock.monotonic() + 2 * LARGE_TUNING.electionTimeoutMs;
    while (group.clock.monotonic() < end) {
      clock.freeze();
      await group.clock.advance(Math.min(given.delay, end - group.clock.monotonic()));
      clock.thaw();
      await group.clock.advance(Math.min(given.pause, end - group.clock.monotonic()));
    }
    await group.clock.advance(LARGE_TUNING.heartbeatMs);
    expect(log.status().role).not.toBe('leader');
    group.dispose();
  });
});
