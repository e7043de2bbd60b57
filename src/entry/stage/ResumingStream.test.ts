import * as vitest from 'vitest';
import * as recordingMetrics from '../../common/testing/RecordingMetricsService.js';
import * as endpointError from '../endpoints/EndpointError.js';
import type * as entryTypes from '../Types.js';
import type * as attemptRace from './AttemptRace.js';
import * as resumingStream from './ResumingStream.js';

const { expect, test } = vitest;
type Winner = attemptRace.IWinner<entryTypes.IEndpointStream>;

const STREAM = 'text/event-stream; charset=utf-8';
const START = 'id: 1\ndata: a\n\nid: 2\ndata: b\n\n';
const REST = 'id: 3\ndata: c\n\ndata: [DONE]\n\n';

async function* chunksOf(text: string, err?: Error): AsyncGenerator<Uint8Array> {
  if (text !== '') {
    yield Buffer.from(text);
  }
  if (err !== undefined) {
    throw err;
  }
}

/** An attempt with a response; `failures` records how it failed. */
function winnerOf(
  failures: string[],
  chunks: AsyncIterable<Uint8Array>,
  status = 200,
  type = STREAM,
): Winner {
  const attempt = {
    endpoint: { name: 'e' },
    succeed: () => {},
    cancel: () => {},
    fail: async (failure: string) => {
      failures.push(failure);
      return false;
    },
  };
  const headers: Record<string, string> = type === '' ? {} : { 'content-type': type };
  const result = { status, headers, load: undefined, chunks };
  return { attempt, result } as unknown as Winner;
}

/** Returns what a caller gets if the stream breaks after `start`, and `next` is the next response. */
async function relay(
  start: string,
  next: (failures: string[]) => Winner,
): Promise<{ readonly text: string; readonly end: string; readonly failures: readonly string[] }> {
  const failures: string[] = [];
  const lost = new endpointError.EndpointError('connection-lost', 'e', true);
  const answers = [
    next(failures),
    winnerOf(failures, chunksOf(start === '' ? START + REST : REST)),
  ];
  const stream = new resumingStream.ResumingStream(
    winnerOf(failures, chunksOf(start, lost)),
    { stage: 's', repeatable: true, pool: { resumable: true } } as unknown as entryTypes.IStageCall,
    { signal: new AbortController().signal } as unknown as entryTypes.IRequestContext,
    new recordingMetrics.RecordingMetricsService(),
    async () => answers.shift() as Winner,
    () => {},
  );
  let text = '';
  try {
    for await (const chunk of stream) {
      text += Buffer.from(chunk).toString();
    }
  } catch (err) {
    return { text, end: (err as Error).message, failures };
  }
  return { text, end: 'whole', failures };
}

const OTHERS: Readonly<Record<string, readonly [status: number, type: string, body: string]>> = {
  'a JSON text': [200, 'application/json', '{"error":"e"}'],
  'a JSON text with a blank line': [200, 'application/json', '{"error":"e"}\n\n'],
  'an unknown path': [404, 'application/json', '{"error":"no such path"}'],
  'an unknown path as events': [404, STREAM, 'data: no such path\n\n'],
  'a redirect': [302, 'text/html', '<p>\n\nmoved'],
  'no content': [204, '', ''],
  'an empty body of another type': [200, 'text/plain', ''],
  'no type': [200, '', 'failed\n\n'],
};

test.each(
  Object.entries(OTHERS).flatMap(([name, other]) =>
    [START, ''].map((start): [string, number, typeof other, string] => [
      name,
      start.length,
      other,
      start,
    ]),
  ),
)('%s does not continue a stream that broke off after %i bytes', async (...args) => {
  const [, , [status, type, body], start] = args;
  const next = (failures: string[]): Winner => winnerOf(failures, chunksOf(body), status, type);
  expect(await relay(start, next)).toEqual({
    text: START + REST,
    end: 'whole',
    failures: ['connection-lost', 'answer-mismatch'],
  });
});

test('a stream with other parameters of its type continues one that broke off', async () => {
  const next = (failures: string[]): Winner =>
    winnerOf(failures, chunksOf(REST), 200, 'Text/Event-Stream');
  expect(await relay(START, next)).toMatchObject({ text: START + REST, end: 'whole' });
});

test('a stream that starts again does not continue one that broke off', async () => {
  const next = (failures: string[]): Winner => winnerOf(failures, chunksOf(START + REST));
  const outcome = await relay(START, next);
  expect(outcome.text).toBe(START);
  expect(outcome.end).toContain('was cut');
});
