import * as vitest from 'vitest';
import * as blame from '../blame/testing/Blame.js';
import * as manualClock from '../common/testing/ManualClock.js';
import * as recordingLog from '../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../common/testing/RecordingMetricsService.js';
import * as unlimitedRateLimiter from '../ratelimit/testing/UnlimitedRateLimiter.js';
import * as endpointDirectory from '../routing/EndpointDirectory.js';
import type * as routing from '../routing/Types.js';
import * as coordinators from './Coordinator.js';
import type * as types from './Types.js';

const { beforeEach, describe, expect, it } = vitest;
const AT_ONCE_MS = 1;
const WAIT_MS = 400;
const FORGOTTEN_MS = 61_000;

describe('Coordinator, with engines of several software versions', () => {
  let clock: manualClock.ManualClock;
  let directory: endpointDirectory.EndpointDirectory;
  let coordinator: coordinators.Coordinator;
  let serial = 0;
  let isListCurrent = true;

  function list(...versions: readonly string[]): void {
    const endpoints = versions.map((version, at) => ({
      id: `e${at}-${version}`,
      service: 'engine',
      address: '127.0.0.1:1',
      availabilityZone: 'a',
      slots: 4,
      draining: false,
      version,
    }));
    directory.replace({ revision: directory.current.revision + 1, endpoints });
  }

  beforeEach(() => {
    isListCurrent = true;
    clock = new manualClock.ManualClock();
    directory = new endpointDirectory.EndpointDirectory();
    coordinator = new coordinators.Coordinator({
      clock,
      caller: { run: async () => [], free: async () => true },
      directory,
      isListCurrent: () => isListCurrent,
      ...blame.makeBlame(clock),
      rateLimiter: new unlimitedRateLimiter.UnlimitedRateLimiter(),
      logService: new recordingLog.RecordingLogService(),
      metrics: new recordingMetrics.RecordingMetricsService(),
    });
    const engine = { slots: 4, cacheTokens: 1000 };
    const services = new Map<string, routing.IService>([
      ['engine', { name: 'engine', maxConnections: 4, engine }],
    ]);
    const limits = { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 };
    coordinator.configure({ version: 1, routes: [], services, limits });
    list('v1', 'v1', 'v2', 'v2');
  });

  /** Plans a request; resolves with the version of its engine, or with the reason of its refusal. */
  async function plan(
    requestId: string,
    change: Partial<types.IPlanRequest> = {},
    duration = WAIT_MS,
  ): Promise<string | undefined> {
    serial += 1;
    let outcome: types.PlanOutcome | undefined;
    void coordinator
      .plan({
        planId: `${requestId}#${serial}`,
        requestId,
        service: 'engine',
        stages: [],
        pieces: [],
        pieceKey: '',
        priority: 0,
        goalLeft: 3000,
        deadlineLeft: 10_000,
        prompt: { parts: [], tokensIn: 10, tokensOut: 10 },
        avoid: [],
        held: [],
        ...change,
      })
      .then((result) => {
        outcome = result;
      });
    await clock.advance(duration);
    return outcome?.kind === 'ready' ? outcome.endpoint.version : outcome?.reason;
  }

  it('places a stream that is taken up, also more than once, at the version that began it', async () => {
    for (let count = 0; count < 8; count++) {
      const begun = await plan(`first-${count}`);
      const next = await plan(`next-${count}`, { continuedId: `first-${count}` }, AT_ONCE_MS);
      const last = await plan(`last-${count}`, { continuedId: `next-${count}` }, AT_ONCE_MS);
      expect([next, last]).toEqual([begun, begun]);
    }
  });

  it('refuses a stream at once when no engine of its version is left', async () => {
    const begun = await plan('first');
    list(begun === 'v1' ? 'v2' : 'v1');
    expect(await plan('next', { continuedId: 'first' }, AT_ONCE_MS)).toBe('version-gone');
    expect(await plan('other', {}, AT_ONCE_MS)).not.toBe(begun);
  });

  it('learns what an entry VM knows of a stream before it refuses it', async () => {
    const planned = plan('next', { continuedId: 'first' });
    coordinator.streams.merge([{ requestId: 'first', version: 'v2', age: 100 }]);
    expect(await planned).toBe('v2');
    expect(await plan('next', { continuedId: 'never' })).toBe('version-unknown');
    expect(await plan('next', { continuedId: '' })).toBe('version-unknown');
  });

  it('needs no record while the service has had one version only', async () => {
    expect(await plan('next', { continuedId: 'never' })).toBe('version-unknown');
    list('v2');
    expect(await plan('next', { continuedId: 'never' })).toBe('version-unknown');
    await clock.advance(FORGOTTEN_MS);
    expect(await plan('next', { continuedId: 'never' }, AT_ONCE_MS)).toBe('v2');
  });

  it('takes no version for the only one while the list of endpoints may be old', async () => {
    list('v1');
    await clock.advance(2 * FORGOTTEN_MS);
    await plan('first', {}, AT_ONCE_MS);
    // Engines of another version may have joined and begun the stream since the list was read.
    isListCurrent = false;
    expect(await plan('next', { continuedId: 'elsewhere' })).toBe('version-unknown');
    expect(await plan('next', { continuedId: 'first' }, AT_ONCE_MS)).toBe('v1');
    isListCurrent = true;
    expect(await plan('next', { continuedId: 'elsewhere' }, AT_ONCE_MS)).toBe('v1');
  });

  it('follows an engine that has another version under the same id', async () => {
    list('v1');
    const [endpoint] = directory.current.endpoints;
    directory.replace({
      revision: 9,
      endpoints: [{ ...(endpoint as routing.IEndpoint), version: 'v2' }],
    });
    expect(await plan('first', { version: 'v1' }, AT_ONCE_MS)).toBe('version-gone');
    expect(await plan('first', { version: 'v2' }, AT_ONCE_MS)).toBe('v2');
  });

  it('leaves out streams that it cannot read, and keeps later knowledge', () => {
    const { streams } = coordinator;
    streams.record({ requestId: 'first', version: 'v1' });
    streams.merge([
      { requestId: 'first', version: 'v2', age: 5000 },
      { requestId: 7, version: 'v2', age: 0 } as never,
      { requestId: 'bad', version: 'v2', age: Number.NaN },
    ]);
    expect(streams.records.map(({ requestId, version }) => [requestId, version])).toEqual([
      ['first', 'v1'],
    ]);
  });

  it('does not place a plan that is cancelled while its version is not known', async () => {
    const outcome = plan('next', { continuedId: 'never' });
    coordinator.cancel(`next#${serial}`);
    expect(await outcome).toBe('lost');
    expect(coordinator.planCount).toBe(0);
  });
});
