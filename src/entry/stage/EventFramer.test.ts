import * as vitest from 'vitest';
import * as seededRandom from '../../common/SeededRandom.js';
import * as eventFramer from './EventFramer.js';

const { describe, expect, test } = vitest;
const LINE_ENDS = [
  ['LF', '\n'],
  ['CRLF', '\r\n'],
  ['CR', '\r'],
] as const;

function event(id: number, lineEnd: string): string {
  return `id: ${id}${lineEnd}data: part ${id}${lineEnd}${lineEnd}`;
}

describe('EventFramer', () => {
  test.each(LINE_ENDS)('emits each event at its blank line with %s', (_name, lineEnd) => {
    const framer = new eventFramer.EventFramer();
    expect(framer.push(Buffer.from(event(1, lineEnd))).toString()).toBe(event(1, lineEnd));
    expect(framer.partialBytes).toBe(0);
    expect(framer.push(Buffer.from(`id: 2${lineEnd}data: x${lineEnd}`))).toHaveLength(0);
    expect(framer.partialBytes).toBeGreaterThan(0);
    expect(framer.lastId).toBe('1');
  });

  test.each(LINE_ENDS)('loses and delays nothing however chunks with %s are cut', (_name, end) => {
    const text = [1, 2, 3].map((id) => event(id, end)).join('');
    for (let seed = 1; seed <= 200; seed++) {
      const random = new seededRandom.SeededRandom(seed);
      const framer = new eventFramer.EventFramer();
      let emitted = '';
      for (let at = 0; at < text.length;) {
        const next = Math.min(text.length, at + 1 + Math.floor(random.next() * 9));
        emitted += framer.push(Buffer.from(text.slice(at, next))).toString();
        at = next;
      }
      expect([seed, emitted, framer.partialBytes]).toEqual([seed, text, 0]);
      expect(framer.lastId).toBe('3');
    }
  });

  test('starts a resumed stream at a line of its own after a discarded part', () => {
    const framer = new eventFramer.EventFramer();
    framer.push(Buffer.from(`${event(1, '\n')}id: 2\r`));
    framer.discard();
    expect(framer.push(Buffer.from('\n'))).toHaveLength(1);
    expect(framer.push(Buffer.from(event(2, '\n'))).toString()).toBe(event(2, '\n'));
  });

  test('reads the first id of events with any line end and not from their data', () => {
    LINE_ENDS.forEach(([, end]) => {
      const text = `data: id: 9${end}id: 4${end}${end}${event(5, end)}`;
      expect(eventFramer.firstIdOf(Buffer.from(text))).toBe('4');
    });
    expect(eventFramer.firstIdOf(Buffer.from('data: x\n\n'))).toBeUndefined();
  });
});
