import * as control from '#wire/control.js';
import * as vitest from 'vitest';
import * as messages from './Messages.js';

const { expect, it } = vitest;

it('decodes to plain objects that hold fields with default values as own properties', () => {
  const { LedgerGroupState } = control.wire;
  const bytes = messages.encode(LedgerGroupState, { records: [{ id: 'a' }] });
  const [record] = messages.decode(LedgerGroupState, bytes).records;
  expect({ ...record }).toMatchObject({ id: 'a', state: '', endedAt: 0, answer: null });
  expect(Object.values({ ...record }).some((value) => typeof value === 'function')).toBe(false);
});
