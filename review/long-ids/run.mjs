/* global performance, process */
/* eslint-disable no-await-in-loop, no-plusplus -- as for TypeScript files */
/** Callers send streams of legal size with long request ids; programs that end are started again. */
// eslint-disable-next-line import-x/extensions -- Node needs the extension
import * as fleets from '../lib-2/Fleet.mjs';

const CRLF = '\r\n';
const ENGINES = 8;
const CALLERS = 48;
const LOAD_MS = 100_000;
/** Characters of a request id; the heads of request and answer stay below 16,384 bytes. */
const ID_LENGTH = process.env.TROUBLE === '0' ? 16 : 15_000;
/** The platform starts a program again after a short delay. */
const RESTART_DELAY_MS = 1000;
const PAUSE_MS = 5;
const EVENT = 'id: 1\ndata: word\n\n';

const CONFIGURATION = {
  version: 3,
  routes: [
    {
      name: 'r-classify',
      host: 'reports.example',
      pathPrefix: '/classify/',
      kind: 'stream',
      timeoutMs: 6000,
      goalMs: 2200,
      priority: 2,
      service: 'engine',
      attempts: 1,
      public: false,
      affinity: true,
      resumable: false,
      itlTargetMs: 400,
    },
  ],
  services: [
    {
      name: 'engine',
      healthPath: '/healthz',
      maxConns: 290,
      protocol: 'h1',
      tls: false,
      inferenceEngine: {
        slots: 64,
        kvCapacity: 572_782,
        kvTokenBytes: 18_432,
        linkMbps: 740_000,
        migrations: true,
        backupCopies: true,
        stride: 5,
        most: 12,
        pinMs: 4000,
        holdMs: 2000,
        handleS: 5,
        models: [{ name: 'm' }],
      },
    },
  ],
  limits: {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3000,
    idleTimeoutMs: 15_000,
  },
  tenants: [{ name: 'coop', apiKeys: ['key-1'], priority: 1 }],
};

function respondAs(replica) {
  return (socket, { target, headers }) => {
    if (target === '/v1/report') {
      const body = '{"waiting":0,"running":0}';
      socket.write(`HTTP/1.1 200 OK${CRLF}Content-Length: ${body.length}${CRLF + CRLF}${body}`);
      return;
    }
    if (headers.get('expect-replica') !== replica) {
      const lines = `Not-Executed: 1${CRLF}Content-Length: 0${CRLF}`;
      socket.write(`HTTP/1.1 421 Misdirected Request${CRLF}${lines}${CRLF}`);
      return;
    }
    const id = headers.get('request-id');
    socket.write(
      `HTTP/1.1 200 OK${CRLF}Request-Id: ${id}${CRLF}Server-Stamp: ${replica}.1${CRLF}` +
        `Content-Type: text/event-stream${CRLF}Transfer-Encoding: chunked${CRLF}` +
        `Keep-Alive: timeout=5${CRLF + CRLF}` +
        `${EVENT.length.toString(16)}${CRLF}${EVENT}${CRLF}0${CRLF + CRLF}`,
    );
  };
}

await fleets.run(import.meta.dirname, async (fleet) => {
  await fleet.startList();
  for (let at = 0; at < ENGINES; at++) {
    const id = `engine-${at}`;
    await fleet.addReplica(id, 'engine', respondAs(id), 'abc'[at % 3], 64);
  }
  await fleet.startAll({ controls: 3, entries: 2, configuration: CONFIGURATION });
  const ends = fleet.restartEnded(RESTART_DELAY_MS);
  const statuses = new Map();
  let serial = 0;
  const startedAt = performance.now();
  const sendRequests = async () => {
    while (performance.now() - startedAt < LOAD_MS) {
      const id = serial;
      serial += 1;
      const entry = fleet.entries[id % fleet.entries.length];
      const { status } = await fleet.call(fleet.frontOf(entry), {
        method: 'POST',
        target: '/classify/entry',
        headers: {
          Host: 'reports.example',
          'Request-Id': `${id}-`.padEnd(ID_LENGTH, 'e'),
          'Deadline-Ms': '6000',
          Authorization: 'Bearer key-1',
          Model: 'm',
          'Token-Counts': '60,1',
          'Prompt-Prefix': `a1:20,b2:20,${id.toString(16)}:20`,
        },
        body: '{"entry":"x"}',
        timeout: 7000,
      });
      statuses.set(status, (statuses.get(status) ?? 0) + 1);
      if (id % 1000 === 0) {
        fleet.record(`${id} requests, answers ${JSON.stringify([...statuses])}`);
      }
      await fleets.sleep(PAUSE_MS);
    }
  };
  await Promise.all(Array.from({ length: CALLERS }, sendRequests));
  fleet.record(`answers ${JSON.stringify([...statuses])}`);
  fleet.record(`ends of programs ${JSON.stringify([...ends])}`);
  const often = [...ends].filter(([, count]) => count >= 3);
  if ((statuses.get(200) ?? 0) < 100) {
    throw new Error('too few requests were served');
  }
  return often.length < 2
    ? []
    : often.map(([name, count]) => `Fault ${name} ended by itself ${count} times`);
});
