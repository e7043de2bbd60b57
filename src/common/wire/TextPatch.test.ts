import * as vitest from 'vitest';
import * as seededRandom from '../SeededRandom.js';
import * as textPatch from './TextPatch.js';

const { expect, test } = vitest;
const SEEDS = [1, 2, 3, 4, 5, 6, 7, 8];

/** Random JSON records, some of which occur twice. */
function makeRecords(random: seededRandom.SeededRandom, count: number): { id: string }[] {
  return Array.from({ length: count }, () => ({ id: `é😀${random.nextInt(30)}` }));
}

test('a patch gives the new text exactly, whatever records were added, removed, moved or repeated', () => {
  SEEDS.forEach((seed) => {
    const random = new seededRandom.SeededRandom(seed);
    const before = JSON.stringify(makeRecords(random, random.nextInt(40)));
    const after = JSON.stringify(makeRecords(random, random.nextInt(40)));
    expect(textPatch.applyPatch(before, textPatch.makePatch(before, after))).toBe(after);
    expect(textPatch.applyPatch(after, textPatch.makePatch(after, ''))).toBe('');
    expect(textPatch.applyPatch('', textPatch.makePatch('', after))).toBe(after);
  });
});

test('changes at both ends of a long text do not send what lies between', () => {
  const records = Array.from({ length: 500 }, (_, index) => ({ index, name: `service-${index}` }));
  const before = JSON.stringify({ head: { version: 1 }, records, tail: { limit: 1 } });
  const after = JSON.stringify({ head: { version: 2 }, records, tail: { limit: 2 } });
  const { parts } = textPatch.makePatch(before, after);
  expect(JSON.stringify(parts).length).toBeLessThan(150);
  expect(textPatch.applyPatch(before, { parts, digest: 'another' })).toBeUndefined();
});

test('a patch of another text is not applied', () => {
  const patch = textPatch.makePatch('[{"a":1},{"b":2}]', '[{"a":1},{"b":3}]');
  expect(textPatch.applyPatch('[{"a":9},{"b":2}]', patch)).toBeUndefined();
});
