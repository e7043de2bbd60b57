import * as vitest from 'vitest';
import * as promptCacheEstimate from './PromptCacheEstimate.js';
import type * as types from './Types.js';

const { expect, test } = vitest;

/** A prompt of `count` parts of `tokens` tokens each, with ids from `first` on. */
function promptOf(first: number, count: number, tokens: number): types.IPrompt {
  const parts = Array.from({ length: count }, (_, at) => ({ id: `p${first + at}`, tokens }));
  return { parts, tokensIn: count * tokens, tokensOut: 1 };
}

test.each([0, 1])('estimates stay within a number of parts of %i tokens', (tokens) => {
  const count = { parts: 0 };
  const estimates = [0, 1, 2].map(
    () => new promptCacheEstimate.PromptCacheEstimate(1e9, count, 1000),
  );
  for (let at = 0; at < 100; at++) {
    estimates[at % 3]?.record(promptOf(at * 90, 90, tokens));
    expect(count.parts).toBeLessThanOrEqual(1000);
  }
  estimates.forEach((estimate) => estimate.dispose());
  expect(count.parts).toBe(0);
});

test('evicts the parts that were used least recently, by tokens', () => {
  const estimate = new promptCacheEstimate.PromptCacheEstimate(100);
  estimate.record(promptOf(0, 2, 50));
  estimate.record(promptOf(0, 1, 50));
  estimate.record(promptOf(2, 1, 50));
  const cached = [0, 1, 2].map((id) => estimate.cachedTokens(promptOf(id, 1, 50)));
  expect(cached).toEqual([50, 0, 50]);
});
