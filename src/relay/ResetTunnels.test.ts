import * as vitest from 'vitest';
import * as ampleBudget from '../common/memory/testing/AmpleBudget.js';
import * as seededRandom from '../common/SeededRandom.js';
import * as systemClock from '../common/SystemClock.js';
import * as rawResponder from '../common/testing/RawResponder.js';
import * as recordingLog from '../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../common/testing/RecordingMetricsService.js';
import * as responseEnd from '../common/wire/ResponseEnd.js';
import * as relayConnector from './RelayConnector.js';
import * as relayServer from './RelayServer.js';
import * as fakeConnector from './testing/FakeConnector.js';

const { afterEach, beforeEach, describe, expect, test } = vitest;
const RELAY_ADDRESS = '127.0.47.1:18744';
const TIMEOUT_MS = 5000;
const REPEATS = 40;
const SHORT = 'some bytes';
const LONG = 'a'.repeat(1_000_000);

/** What the far side of a tunnel saw. */
interface IReceived {
  readonly bytes: number;
  readonly end: 'closed' | 'broken';
}

describe('tunnels', () => {
  const clock = new systemClock.SystemClock();
  let responder: rawResponder.RawResponder;
  let address: string;
  let server: relayServer.RelayServer;
  let connector: relayConnector.RelayConnector;

  beforeEach(async () => {
    const metrics = new recordingMetrics.RecordingMetricsService();
    responder = new rawResponder.RawResponder('', () => {});
    address = await responder.listen();
    server = new relayServer.RelayServer({
      clock,
      connector: new fakeConnector.FakeConnector(clock),
      isEndpoint: () => true,
      isPathLost: () => false,
      memory: ampleBudget.ampleBudget(clock),
      logService: new recordingLog.RecordingLogService(),
      metrics,
    });
    server.listen(RELAY_ADDRESS, (err) => expect.fail(err.message));
    const random = new seededRandom.SeededRandom(1);
    connector = new relayConnector.RelayConnector({ clock, random, metrics });
    connector.updateRelays([RELAY_ADDRESS]);
  });

  afterEach(() => {
    server.dispose();
    responder.dispose();
  });

  /** Sends `bodyBytes` through a tunnel and reads until it ends. */
  async function receive(bodyBytes: number): Promise<IReceived> {
    const socket = await connector.connect(address, TIMEOUT_MS);
    let bytes = 0;
    let end: IReceived['end'] = 'broken';
    socket.prependOnceListener('end', () => {
      end = responseEnd.isClosedByPeer(socket) ? 'closed' : 'broken';
    });
    socket.on('error', () => {});
    socket.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
    });
    socket.write(Buffer.alloc(bodyBytes));
    return new Promise((resolve) => {
      socket.once('close', () => resolve({ bytes, end }));
    });
  }

  async function countClosed(text: string, bodyBytes: number): Promise<number> {
    responder.text = text;
    let closed = 0;
    for (let at = 0; at < REPEATS; at++) {
      const { bytes, end } = await receive(bodyBytes);
      closed += end === 'closed' ? 1 : 0;
      if (end === 'closed') {
        expect(bytes).toBe(text.length);
      }
    }
    return closed;
  }

  const ROWS = [
    ['a short answer', 'a short request', SHORT, 1],
    ['a short answer', 'a long request', SHORT, LONG.length],
    ['a long answer', 'a short request', LONG, 1],
  ] as const;
  const rowsOf = (ends: Readonly<Record<string, rawResponder.EndFn>>) =>
    Object.entries(ends).flatMap(([name, end]) =>
      ROWS.map(([answer, request, text, bodyBytes]) => ({
        name,
        end,
        answer,
        request,
        text,
        bodyBytes,
      })),
    );

  // Issue 63.
  test.each(rowsOf(rawResponder.CUTS))(
    'never end properly when $answer to $request is $name',
    async ({ end, text, bodyBytes }) => {
      responder.end = end;
      expect(await countClosed(text, bodyBytes)).toBe(0);
    },
  );

  test.each(rowsOf(rawResponder.CLOSES))(
    'end properly after all bytes when $answer to $request is $name',
    async ({ end, text, bodyBytes }) => {
      responder.end = end;
      expect(await countClosed(text, bodyBytes)).toBe(REPEATS);
    },
  );
});
