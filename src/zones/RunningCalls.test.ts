import * as vitest from 'vitest';
import * as runningCalls from './RunningCalls.js';

const { expect, test } = vitest;

test('counts the calls at some addresses until each has ended, once', () => {
  const running = new runningCalls.RunningCalls();
  const first = running.begin('10.0.0.1:80');
  const second = running.begin('10.0.0.1:80');
  const other = running.begin('10.0.0.2:80');
  const isFirst = (address: string): boolean => address === '10.0.0.1:80';
  expect([running.count(isFirst), running.count(() => true)]).toEqual([2, 3]);
  first.dispose();
  first.dispose();
  expect([running.count(isFirst), running.count(() => true)]).toEqual([1, 2]);
  second.dispose();
  other.dispose();
  expect(running.count(() => true)).toBe(0);
});
