import * as vitest from 'vitest';
import * as responseHeadCheck from './ResponseHeadCheck.js';

const { describe, expect, test } = vitest;
const HEAD = 'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n';

/** Returns the fault that is found in the parts of a text, and whether a head was read to its end. */
function check(parts: readonly string[]): { fault: string | undefined; isDone: boolean } {
  const headCheck = new responseHeadCheck.ResponseHeadCheck();
  const findings = parts.map((part) => headCheck.findFault(Buffer.from(part, 'latin1')));
  return { fault: findings.find((found) => found !== undefined), isDone: headCheck.isDone };
}

/** Returns the text in one part, in every two parts, and byte by byte. */
function splits(text: string): readonly (readonly string[])[] {
  const pairs = [...text].map((_, at) => [text.slice(0, at), text.slice(at)]);
  return [...pairs, [...text]];
}

describe('ResponseHeadCheck', () => {
  test.each([
    ['a head', `${HEAD}\r\n`],
    ['a head with a body that holds line breaks', `${HEAD}\r\n\n\rX Y\r\n`],
    ['a head without headers', 'HTTP/1.0 404 \r\n\r\n'],
    ['a head without a reason', 'HTTP/1.1 599\r\n\r\n'],
    ['a head behind blank lines', `\r\n\r\n${HEAD}\r\n`],
    [
      'a head behind informational ones',
      `HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\nA: 1\r\n\r\n${HEAD}\r\n`,
    ],
    ['a body in chunks', 'HTTP/1.1 200 OK\r\nTransfer-Encoding:  Chunked \r\n\r\n'],
    [
      'a head with other bytes in reason and values',
      `HTTP/1.1 200 \xe9\t\r\nA: \xe9\t"\r\nB:\r\n\r\n`,
    ],
  ])('finds no fault in %s, however it is split', (_, text) => {
    splits(text).forEach((parts) =>
      expect(check(parts)).toEqual({ fault: undefined, isDone: true }),
    );
  });

  test.each([
    ['a status below 100', 'HTTP/1.1 099 X\r\n'],
    ['a status above 599', 'HTTP/1.1 600 X\r\n'],
    ['a switch of protocols', 'HTTP/1.1 101 X\r\n'],
    ['an informational head with a broken name', `HTTP/1.1 102 X\r\nA B: 1\r\n\r\n`],
    ['a blank in a name', `${HEAD}A B: 1\r\n\r\n`],
    ['a blank before a colon', `${HEAD}A : 1\r\n\r\n`],
    ['an empty name', `${HEAD}: 1\r\n\r\n`],
    ['no colon', `${HEAD}A\r\n\r\n`],
    ['a lone line feed', `${HEAD}\nA: 1\r\n\r\n`],
    ['a lone carriage return', `${HEAD}\rA: 1\r\n\r\n`],
    ['another transfer coding', 'HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\n'],
    ['a transfer coding before chunks', `HTTP/1.1 200 OK\r\nTransfer-Encoding: x, chunked\r\n\r\n`],
    ['a carriage return too many', `${HEAD}\r\r\n`],
  ])('does not miss %s, however the head is split', (_, text) => {
    splits(text).forEach((parts) => expect(check(parts).fault).toMatch(/^response with a broken /));
  });

  test('does not report more than the beginning of a broken line, without its control bytes', () => {
    const { fault = '' } = check([`HTTP/1.1 200 OK\r\nA\x07 ${'B'.repeat(1000)}: 1\r\n`]);
    expect(fault).toMatch(/^response with a broken header: "A\\u0007 B+"$/);
    expect(fault.length).toBeLessThan(120);
  });
});
