import * as vitest from 'vitest';
import * as smallParts from './SmallParts.js';

const { expect, test } = vitest;

test('lets one body in very small parts be read at a time, and others once it has ended', () => {
  const gate = new smallParts.SmallParts();
  const [first, second] = [{}, {}];
  expect(gate.admit(first, 5000, 10_000)).toBe(true);
  expect(gate.admit(second, 5000, 10_000)).toBe(false);
  expect(gate.admit(second, 1000, 1000)).toBe(true);
  expect(gate.admit(second, 5000, 5_000_000)).toBe(true);
  gate.leave(second);
  expect(gate.admit(second, 5000, 10_000)).toBe(false);
  gate.leave(first);
  expect(gate.admit(second, 5000, 10_000)).toBe(true);
});
