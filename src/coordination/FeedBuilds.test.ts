import * as grpc from '@grpc/grpc-js';
import * as vitest from 'vitest';
import * as seededRandom from '../common/SeededRandom.js';
import * as systemClock from '../common/SystemClock.js';
import * as recordingLog from '../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../common/testing/RecordingMetricsService.js';
import * as textDelta from '../common/wire/TextDelta.js';
import * as feedClient from './FeedClient.js';
import * as feedCodec from './FeedCodec.js';
import type * as sessionStream from './SessionStream.js';
import * as sharedText from './SharedText.js';
import type * as types from './Types.js';

const { afterEach, expect, test } = vitest;
const POLL_INTERVAL_MS = 10;
const clock = new systemClock.SystemClock();
const logService = new recordingLog.RecordingLogService();
const metrics = new recordingMetrics.RecordingMetricsService();
const disposables: { dispose(): void }[] = [];
const STATE: types.DownMessage = {
  kind: 'state',
  leads: true,
  confirmed: true,
  term: 1,
  wantsEndpoints: false,
  members: [],
  entries: 1,
};
const PLAN = {
  planId: 'r#1',
  requestId: 'r',
  service: 's',
  stages: [],
  pieces: [],
  pieceKey: '',
  priority: 0,
  goalLeft: 5000,
  deadlineLeft: 20_000,
  prompt: { parts: [], tokensIn: 1, tokensOut: 1 },
  avoid: [],
  held: [],
};

/** Starts a control VM that answers each message as `onMessage` does, and a client of it. */
async function connect(
  onMessage: (message: types.UpMessage, send: (down: object) => void) => void,
): Promise<feedClient.FeedClient> {
  const server = new grpc.Server();
  server.addService(feedCodec.FEED_SERVICE, {
    open: (stream: sessionStream.ServerStream) => {
      const send = (down: object): void => {
        stream.write(Buffer.from(JSON.stringify(down)));
      };
      stream.on('data', (message: types.UpMessage) => onMessage(message, send));
      stream.on('error', () => {});
    },
  });
  const port = await new Promise<number>((resolve, reject) => {
    server.bindAsync('127.0.0.1:0', grpc.ServerCredentials.createInsecure(), (err, bound) =>
      err === null ? resolve(bound) : reject(err),
    );
  });
  const client = new feedClient.FeedClient({
    clock,
    random: new seededRandom.SeededRandom(1),
    logService,
    metrics,
    seeds: () => [`127.0.0.1:${port}`],
    vm: 'vm',
    endpoints: () => ({ revision: 0, endpoints: [] }),
  });
  disposables.push(client, { dispose: () => server.forceShutdown() });
  return client;
}

async function until(check: () => boolean): Promise<void> {
  while (!check()) {
    await clock.sleep(POLL_INTERVAL_MS);
  }
}

function digestOf(text: string): string {
  return textDelta.hashText(text);
}

function updateTo(text: string, held: string): object {
  const shared = new sharedText.SharedText({
    topic: 'document',
    toWholeMessage: () => STATE,
    onEncoded: () => {},
  });
  shared.set(1, 'route 1\nroute 2\n');
  shared.set(2, text);
  return feedCodec.decodeDown(shared.messageFor(held).bytes);
}

afterEach(() => {
  disposables.splice(0).forEach((each) => each.dispose());
});

test('an entry VM follows a control VM of an earlier build, and then updates of a later one', async () => {
  const held: string[] = [];
  const client = await connect((message, send) => {
    if (message.kind === 'hello') {
      send(STATE);
      held.push(message.held?.document ?? 'none');
      if (held.length === 1) {
        send({ kind: 'document', version: 1, text: 'route 1\nroute 2\n' });
        send({ kind: 'endpoints', list: { revision: 1, endpoints: [] } });
      } else {
        send(updateTo('route 1\nroute 3\n', held.at(-1) ?? ''));
      }
    }
  });
  const received: unknown[] = [];
  client.onDocument((document) => received.push(document));
  client.onEndpoints((list) => received.push(list));
  client.start();
  await until(() => received.length === 2);
  const { connection } = client as unknown as { connection: { end(reason: string): void } };
  connection.end('lost in a test');
  await until(() => received.length === 3);
  expect(held).toEqual(['', digestOf('route 1\nroute 2\n')]);
  expect(received.at(-1)).toEqual({ version: 2, text: 'route 1\nroute 3\n' });
});

test('an entry VM that missed an update requests the whole configuration and applies it once', async () => {
  const resends: types.UpMessage[] = [];
  const client = await connect((message, send) => {
    if (message.kind === 'hello') {
      const digest = digestOf('route 1\nroute 2\n');
      send(STATE);
      send(updateTo('route 1\nroute 3\n', digest));
    } else if (message.kind === 'resend') {
      resends.push(message);
      send(updateTo('route 1\nroute 3\n', ''));
    }
  });
  const received: unknown[] = [];
  client.onDocument((document) => received.push(document));
  client.start();
  await until(() => received.length > 0);
  expect(received).toEqual([{ version: 2, text: 'route 1\nroute 3\n' }]);
  expect(resends).toEqual([{ kind: 'resend', topic: 'document' }]);
});

test('a message of a kind of a later build does not end a plan', async () => {
  const client = await connect((message, send) => {
    if (message.kind === 'hello') {
      send(STATE);
    } else if (message.kind === 'plan') {
      send({ kind: 'of-a-later-build', planId: message.plan.planId });
      const outcome = { kind: 'refused', reason: 'too-late', retryAfter: 1 };
      send({ kind: 'planned', planId: message.plan.planId, outcome });
    }
  });
  client.start();
  await until(() => client.isConnected);
  expect(await client.plan(PLAN)).toMatchObject({ kind: 'refused', reason: 'too-late' });
});
