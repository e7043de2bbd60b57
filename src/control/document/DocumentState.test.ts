import * as vitest from 'vitest';
import * as documentState from './DocumentState.js';

const { describe, expect, test } = vitest;
const { DocumentState } = documentState;

function submit(state: documentState.DocumentState, version: number, text: string): string {
  const command = DocumentState.encode({ version, text });
  return DocumentState.decodeResult(state.apply(1, command));
}

describe('DocumentState', () => {
  test('keeps the highest version regardless of the order of submissions', () => {
    const state = new DocumentState();
    expect(submit(state, 7, 'seven')).toBe('accepted');
    expect(submit(state, 3, 'three')).toBe('superseded');
    expect(submit(state, 9, 'nine')).toBe('accepted');
    expect(state.current).toEqual({ version: 9, text: 'nine' });
  });

  test('reports a repeated submission as superseded and a different text under the same version as a conflict', () => {
    const state = new DocumentState();
    submit(state, 7, 'seven');
    expect(submit(state, 7, 'seven')).toBe('superseded');
    expect(submit(state, 7, 'other')).toBe('conflict');
    expect(state.current?.text).toBe('seven');
  });

  test('preserves the text byte for byte across a snapshot', () => {
    const text = '{ "a":  "\u00e5\\u0041" }\n';
    const state = new DocumentState();
    submit(state, 1, text);
    const restored = new DocumentState();
    restored.restore(state.snapshot());
    expect(restored.current).toEqual({ version: 1, text });
  });

  test('fires onChange once for each version that comes into force', () => {
    const seen: number[] = [];
    const state = new DocumentState();
    state.onChange(({ version }) => seen.push(version));
    submit(state, 2, 'a');
    submit(state, 2, 'a');
    submit(state, 1, 'b');
    submit(state, 4, 'c');
    expect(seen).toEqual([2, 4]);
  });
});
