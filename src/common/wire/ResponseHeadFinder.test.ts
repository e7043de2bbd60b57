import * as vitest from 'vitest';
import * as responseHeadFinder from './ResponseHeadFinder.js';

const { describe, expect, test } = vitest;
const MARKS = ['server:', 'id:7\n'];
const LONG = 2_000_000;

function isFound(pieces: readonly string[], marks: readonly string[] | undefined): boolean {
  const finder = new responseHeadFinder.ResponseHeadFinder(marks);
  return pieces.some((piece) => finder.push(Buffer.from(piece, 'latin1'))) || finder.endsInMark;
}

describe('ResponseHeadFinder', () => {
  test.each([
    ['xHTTP/1.1 200 OK\r\nServer: s\r\n\r\n', true],
    ['xHTTP/1.0 200\nDate: d\nSERVER:s\n\n', true],
    ['HTTP/1.1 200 HTTP/1.1 200 OK\r\nId:  7 \r\n', true],
    ['HTTP/1.1 200 OK\r\nno header: HTTP/1.1 200 OK\r\nServer: s\r\n', true],
    ['HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 500 Error\r\nServer: s\r\n', true],
    ['HTTP/1.1 200 OK\r\nServer: s', true],
    ['HTTP/1.1 200 OK\r\nSer', true],
    ['HTTP/1.1 200 OK\r\nId: 7', true],
    ['HTTP/1.1 200 OK\r\n', false],
    ['HTTP/1.1 200 OK\r\nId: 77\r\n\r\n', false],
    ['HTTP/1.1 200 OK\r\n\r\nServer: s\r\n', false],
    ['HTTP/1.1 200 OK\r\nno header\r\nServer: s\r\n', false],
    ['HTTP/1.1 600 OK\r\nServer: s\r\n', false],
    ['HTTP/1.1 20 OK\r\nServer: s\r\n', false],
    ['HTTP/2 200\r\nServer: s\r\n', false],
  ])('tells a response from text wherever it is cut: %j', (text, expected) => {
    expect(isFound([text], MARKS)).toBe(expected);
    expect(isFound([...text], MARKS)).toBe(expected);
    for (let at = 1; at < text.length; at++) {
      expect(isFound([text.slice(0, at), text.slice(at)], MARKS)).toBe(expected);
    }
  });

  test('takes any status line for a response without marks, and no other text', () => {
    expect(isFound(['{}HTTP/1.1 200 OK\r\n'], undefined)).toBe(true);
    expect(isFound(['{"a":"HTTP/1.1 200 OK\\r\\n"}'], undefined)).toBe(false);
  });

  test.each(['HTTP/1.', 'HTTP/1.1 200 ', 'X: HTTP/1.1 200 OK\r\n', 'HTTP/1.1 200 OK\r\n', 'X:'])(
    'reads a long text of %j to its end',
    (text) => {
      const long = text.repeat(LONG / text.length);
      expect(isFound([long, `${long}HTTP/1.1 200 OK\r\nServer: s\r\n`], MARKS)).toBe(true);
      expect(isFound([long, long], MARKS)).toBe(false);
    },
  );
});
