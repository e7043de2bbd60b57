import * as vitest from 'vitest';
import * as systemClock from './SystemClock.js';

const { expect, test } = vitest;
const clock = new systemClock.SystemClock();

test.each([2 ** 31, 1e300, Number.POSITIVE_INFINITY])(
  'a timer of %s ms, more than Node can hold, does not fire at once',
  async (delay) => {
    const fired: string[] = [];
    const abortController = new AbortController();
    const timer = clock.setTimer(delay, () => fired.push('timer'));
    const sleep = clock.sleep(delay, abortController.signal).then(
      () => fired.push('sleep'),
      () => {},
    );
    await clock.sleep(20);
    expect(fired).toEqual([]);
    timer.dispose();
    abortController.abort();
    await sleep;
  },
);
