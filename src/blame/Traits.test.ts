import * as vitest from 'vitest';
import * as traits from './Traits.js';

const { expect, it } = vitest;
const SOURCE: traits.IFingerprintSource = {
  workspace: 'w',
  method: 'POST',
  host: 'a.example',
  target: '/a?b',
  body: Buffer.from('body'),
  pieceKey: 'k',
  prompt: { parts: [{ id: 'p', tokens: 1 }], tokensIn: 1, tokensOut: 1 },
};

it('gives each resend of a request the same fingerprint, and other requests another one', () => {
  const fingerprint = traits.fingerprintOf(SOURCE);
  expect(traits.fingerprintOf({ ...SOURCE, body: Buffer.from('body') })).toBe(fingerprint);
  const changes: readonly Partial<traits.IFingerprintSource>[] = [
    { workspace: undefined },
    { method: 'PUT' },
    { target: '/a' },
    { body: Buffer.from('other') },
    { pieceKey: '' },
    { prompt: undefined },
  ];
  const others = changes.map((change) => traits.fingerprintOf({ ...SOURCE, ...change }));
  expect(new Set([fingerprint, ...others]).size).toBe(changes.length + 1);
});

it('takes the prompt parts of a service but the last one for traits, at most 64', () => {
  const parts = ['a', 'b', 'a', 'last'].map((id) => ({ id, tokens: 1 }));
  const prompt = { parts, tokensIn: 4, tokensOut: 1 };
  expect(traits.traitsOf('s', 'f', prompt)).toEqual({
    request: 'request:f',
    parts: ['part:s/a', 'part:s/b'],
  });
  expect(traits.traitsOf('s', 'f', undefined).parts).toEqual([]);
  const many = Array.from({ length: 1000 }, (_, id) => ({ id: String(id), tokens: 1 }));
  expect(traits.traitsOf('s', 'f', { ...prompt, parts: many }).parts).toHaveLength(64);
});
