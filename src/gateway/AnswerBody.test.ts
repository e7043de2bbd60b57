import * as stream from 'node:stream';
import * as vitest from 'vitest';
import * as virtualClock from '../common/testing/VirtualClock.js';
import * as answerBody from './AnswerBody.js';
import * as ampleBodies from './testing/AmpleBodies.js';
import type * as types from './Types.js';

const { describe, expect, test } = vitest;

const memory = ampleBodies.ampleBodies(new virtualClock.VirtualClock());

function rejection(body: stream.Readable): types.IEndpointAnswer {
  return {
    status: 503,
    headers: [],
    isGenuine: true,
    mediaType: '',
    isFramed: true,
    isNotRun: true,
    looksNotRun: false,
    isWrongEndpoint: false,
    namesRateLimit: false,
    load: undefined,
    body,
    isComplete: () => true,
    bodyEnd: () => 'framed',
  };
}

describe('AnswerBody', () => {
  test('joins the chunks of a body that is exactly as long as allowed', async () => {
    const body = stream.Readable.from([Buffer.from('ab'), Buffer.from('cd')]);
    const result = await answerBody.readBody(body, () => true, 4, memory);
    expect(result).toEqual({ body: Buffer.from('abcd') });
  });

  test('destroys a body that is longer than allowed', async () => {
    const body = stream.Readable.from([Buffer.from('ab'), Buffer.from('cde')]);
    const result = await answerBody.readBody(body, () => true, 4, memory);
    expect(result).toEqual({ fault: 'body exceeds 4 bytes' });
    expect(body.destroyed).toBe(true);
  });

  test('does not return a truncated body', async () => {
    const body = stream.Readable.from([Buffer.from('ab')]);
    expect(await answerBody.readBody(body, () => false, 4, memory)).toEqual({
      fault: 'body truncated',
    });
  });

  test('gives up on the body of a rejection that is too long or does not end', async () => {
    const clock = new virtualClock.VirtualClock();
    const long = new stream.PassThrough();
    const drainedLong = answerBody.drainRejection(rejection(long), clock);
    long.write(Buffer.alloc(65_537));
    expect(await drainedLong).toMatch(/exceeds 65536 bytes/);
    const silent = new stream.PassThrough();
    const drainedSilent = answerBody.drainRejection(rejection(silent), clock);
    await clock.advance(1000);
    expect(await drainedSilent).toMatch(/lasts longer than 1000 ms/);
    const whole = stream.Readable.from([Buffer.from('busy')]);
    expect(await answerBody.drainRejection(rejection(whole), clock)).toBeUndefined();
  });
});
