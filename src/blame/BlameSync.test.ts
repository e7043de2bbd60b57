import * as vitest from 'vitest';
import * as emitter from '../common/Emitter.js';
import * as seededRandom from '../common/SeededRandom.js';
import * as manualClock from '../common/testing/ManualClock.js';
import * as blameSync from './BlameSync.js';
import * as blame from './testing/Blame.js';
import type * as types from './Types.js';

const { expect, test } = vitest;
const ENTRY_VMS = 200;
const CRASHES = 20;
const SUSPECTS = 32;
/** A link of 100 Mbit/s. */
const LINK_BYTES_PER_MS = 12_500;

const id = (number: number): string => (number * 2_654_435_761).toString(16).padStart(16, '0');

/** Entry VMs that all know of the same crashes, and so share a table; `sent` is what they send to the coordinator. */
function startVms(clock: manualClock.ManualClock) {
  const found = new emitter.Emitter<void>();
  const told = new emitter.Emitter<types.IBlameNews>();
  const sent: { readonly at: number; readonly bytes: number }[] = [];
  const random = new seededRandom.SeededRandom(1);
  const table = blame.makeTable(clock);
  const syncs = Array.from({ length: ENTRY_VMS }, () => {
    const link = {
      onCoordinatorFound: found.event,
      onBlame: told.event,
      sendBlame: (news: types.IBlameNews) => {
        const bytes = news.crashes.length === 0 ? 0 : JSON.stringify(news).length;
        sent.push({ at: clock.monotonic(), bytes });
      },
    } as unknown as types.IBlameLink;
    return new blameSync.BlameSync(table, link, { clock, random, vmCount: () => ENTRY_VMS });
  });
  for (let crash = 0; crash < CRASHES; crash++) {
    const suspects = Array.from({ length: SUSPECTS }, (_, index) => {
      const number = crash * SUSPECTS + index + 1;
      return { request: id(number), parts: [id(number * 3), id(number * 5)], placedAge: 500 };
    });
    const record = { id: `c-${crash}`, endpointId: `i-${crash}`, age: 20, suspects };
    table.merge({ crashes: [record], proofs: [] });
  }
  const start = (): void => {
    sent.length = 0;
    found.fire();
  };
  const dispose = (): void => syncs.forEach((sync) => sync.dispose());
  return { start, told, sent, table, dispose };
}

test('200 VMs that find a coordinator at once do not fill its link with the news of 20 crashes', async () => {
  const clock = new manualClock.ManualClock();
  const { start, sent, dispose } = startVms(clock);
  start();
  await clock.advance(5000);
  const busiest = Math.max(
    ...sent.map(({ at }) =>
      sent
        .filter((each) => each.at >= at && each.at < at + 100)
        .map(({ bytes }) => bytes)
        .reduce((a, b) => a + b),
    ),
  );
  expect(sent).toHaveLength(ENTRY_VMS);
  expect(busiest).toBeLessThan(100 * LINK_BYTES_PER_MS);
  dispose();
});

test('VMs do not send the coordinator the news that it has sent to them', async () => {
  const clock = new manualClock.ManualClock();
  const { start, told, sent, table, dispose } = startVms(clock);
  start();
  await clock.advance(50);
  const early = sent.length;
  expect(early).toBeLessThan(ENTRY_VMS / 10);
  told.fire(table.news);
  await clock.advance(5000);
  expect(sent.slice(early).filter(({ bytes }) => bytes > 0)).toEqual([]);
  dispose();
});

test('a crash with a suspect that the coordinator has not named is sent', async () => {
  const clock = new manualClock.ManualClock();
  const { start, told, sent, table, dispose } = startVms(clock);
  start();
  const { crashes, proofs } = table.news;
  const shorter = crashes.map((crash) => ({ ...crash, suspects: crash.suspects.slice(1) }));
  told.fire({ crashes: shorter, proofs });
  await clock.advance(5000);
  expect(sent.filter(({ bytes }) => bytes > 0)).toHaveLength(ENTRY_VMS);
  dispose();
});
