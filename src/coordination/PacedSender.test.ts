import * as vitest from 'vitest';
import * as manualClock from '../common/testing/ManualClock.js';
import * as pacedSender from './PacedSender.js';

const { expect, test } = vitest;
const BYTES_PER_MS = 100;

test('large messages to many VMs leave at the rate that is set, in order, without idle time between', async () => {
  const clock = new manualClock.ManualClock();
  const sender = new pacedSender.PacedSender(clock, BYTES_PER_MS);
  const sent: { readonly number: number; readonly at: number }[] = [];
  const start = clock.monotonic();
  Array.from({ length: 50 }, (_, number) =>
    sender.add(() => {
      sent.push({ number, at: clock.monotonic() - start });
      return 400;
    }),
  );
  await clock.advance(1000);
  expect(sent.map(({ number }) => number)).toEqual([...Array(50).keys()]);
  sent.forEach(({ number, at }) => {
    expect(Math.abs((number * 400) / BYTES_PER_MS - at)).toBeLessThanOrEqual(12);
  });
  sender.dispose();
});

test('a disposed sender keeps no timer and sends nothing more', async () => {
  const clock = new manualClock.ManualClock();
  const sender = new pacedSender.PacedSender(clock, BYTES_PER_MS);
  let count = 0;
  const task = (): number => {
    count += 1;
    return 10_000;
  };
  [task, task, task].forEach((each) => sender.add(each));
  sender.dispose();
  await clock.advance(1000);
  expect(count).toBe(1);
});
