import * as vitest from 'vitest';
import * as seededRandom from '../common/SeededRandom.js';
import * as manualClock from '../common/testing/ManualClock.js';
import * as recordingLogService from '../common/testing/RecordingLogService.js';
import * as recordingMetricsService from '../common/testing/RecordingMetricsService.js';
import type * as configTypes from '../config/Types.js';
import * as decisions from './Decisions.js';
import * as memoryQuarantineService from './testing/MemoryQuarantineService.js';
import type * as entryTypes from './Types.js';

const SEED = 5;

const POOL: configTypes.IPool = {
  name: 'register',
  kind: 'service',
  resumable: false,
  costPerSecond: 1,
  endpoints: [
    { name: 'r-1', address: '127.0.0.1:1', zone: 'a', checksFencing: true, role: 'both' },
  ],
};

const CALL: entryTypes.IStageCall = {
  stage: 'register',
  pool: POOL,
  method: 'GET',
  path: '/',
  headers: {},
  body: new Uint8Array(),
  repeatable: true,
  following: [],
};

/** Runs a call twice for one request on a new entry VM and returns the call ids sent, in order. */
async function callIds(entry: string, incarnation: string): Promise<readonly string[]> {
  const clock = new manualClock.ManualClock();
  const sent: string[] = [];
  const answer = { status: 200, headers: {}, body: new Uint8Array(), load: undefined };
  const requestPath = decisions.createDecisions(
    { id: entry, zone: 'a', incarnation },
    {},
    {
      clock,
      random: new seededRandom.SeededRandom(SEED),
      log: new recordingLogService.RecordingLogService(),
      metrics: new recordingMetricsService.RecordingMetricsService(),
      quarantine: new memoryQuarantineService.MemoryQuarantineService(),
      endpointClient: {
        call: (endpoint, call) => {
          sent.push(call.callId);
          return Promise.resolve(answer);
        },
        stream: () => Promise.reject(new Error('not used')),
        dispose: () => {},
      },
    },
  );
  const ctx: entryTypes.IRequestContext = {
    id: 'same-id',
    workspace: 'w',
    target: 'register',
    kind: {
      name: 'k',
      deadlineMs: 1_000,
      patience: 'interactive',
      attainmentTarget: 1,
      costTarget: 1,
    },
    arrived: clock.monotonic(),
    deadline: clock.monotonic() + 1_000,
    fingerprint: 'f',
    signal: new AbortController().signal,
    costs: { add: () => {} },
  };
  await requestPath.stageRunner.run(CALL, ctx);
  await requestPath.stageRunner.run(CALL, ctx);
  requestPath.dispose();
  return sent;
}

vitest.describe('createDecisions', () => {
  vitest.it('gives each attempt a unique call id across entry VMs and restarts', async () => {
    const ids = [
      ...(await callIds('entry-1', 'a')),
      ...(await callIds('entry-2', 'a')),
      ...(await callIds('entry-1', 'b')),
    ];
    vitest.expect(ids.every((id) => id.startsWith('same-id.'))).toBe(true);
    vitest.expect(new Set(ids).size).toBe(6);
  });
});
