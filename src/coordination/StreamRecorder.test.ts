import * as vitest from 'vitest';
import * as manualClock from '../common/testing/ManualClock.js';
import * as recordingLog from '../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../common/testing/RecordingMetricsService.js';
import * as sharedState from '../control/document/SharedState.js';
import * as documentState from '../control/document/DocumentState.js';
import type * as controlTypes from '../control/Types.js';
import * as streamRecorder from './StreamRecorder.js';
import * as streamVersions from './StreamVersions.js';
import * as versionRecord from './VersionRecord.js';

const { afterEach, beforeEach, describe, expect, it } = vitest;
const INTERVAL_MS = 100;
const RETENTION_MS = 60_000;
const SERVICE = 'llm';

describe('StreamRecorder', () => {
  let clock: manualClock.ManualClock;
  let logService: recordingLog.RecordingLogService;
  let streams: streamVersions.StreamVersions;
  let recorder: streamRecorder.StreamRecorder;
  let commands: Uint8Array[];
  let isActive: boolean;
  let failure: Error | undefined;

  beforeEach(() => {
    clock = new manualClock.ManualClock();
    logService = new recordingLog.RecordingLogService();
    streams = new streamVersions.StreamVersions(clock);
    const state = new sharedState.SharedState(streams);
    commands = [];
    isActive = true;
    failure = undefined;
    const log = {
      propose: async (command: Uint8Array) => {
        if (failure !== undefined) {
          throw failure;
        }
        commands.push(command);
        return state.apply(commands.length, command);
      },
    } as unknown as controlTypes.IReplicatedLog;
    recorder = new streamRecorder.StreamRecorder({
      clock,
      log,
      streams,
      logService,
      metrics: new recordingMetrics.RecordingMetricsService(),
      isActive: () => isActive,
    });
    recorder.start();
  });

  afterEach(() => recorder.dispose());

  /** What a VM knows after its start, from the log alone. */
  function restart(): streamVersions.StreamVersions {
    const restarted = new streamVersions.StreamVersions(clock);
    const state = new sharedState.SharedState(restarted);
    commands.forEach((command, at) => state.apply(at + 1, command));
    return restarted;
  }

  function begin(requestId: string, version: string, isResumable?: boolean): void {
    streams.record({ requestId, version, service: SERVICE, isResumable });
  }

  it('records the versions of a service once, and no stream while it has one', async () => {
    streams.recordListed(SERVICE, ['v1']);
    begin('a', 'v1');
    await clock.advance(10 * INTERVAL_MS);
    expect(commands.map(versionRecord.decode)).toEqual([
      { services: { [SERVICE]: ['v1'] }, streams: {} },
    ]);
    const restarted = restart();
    restarted.recordListed(SERVICE, ['v1']);
    expect(restarted.versionOf('a', SERVICE)).toBe('v1');
  });

  it('records the streams that began before a second version came', async () => {
    streams.recordListed(SERVICE, ['v1']);
    begin('before', 'v1');
    await clock.advance(10 * INTERVAL_MS);
    streams.recordListed(SERVICE, ['v1', 'v2']);
    begin('after', 'v2');
    await clock.advance(INTERVAL_MS);
    const restarted = restart();
    restarted.recordListed(SERVICE, ['v2']);
    expect(restarted.versionOf('before', SERVICE)).toBe('v1');
    expect(restarted.versionOf('after', SERVICE)).toBe('v2');
    expect(restarted.versionOf('never', SERVICE)).toBeUndefined();
  });

  it.each(['__proto__', 'constructor', 'toString'])(
    'records streams of a version that is the name of an inherited property: %s',
    async (version) => {
      streams.recordListed(SERVICE, ['v1', version]);
      begin('a', version);
      begin('b', 'v1');
      await clock.advance(INTERVAL_MS);
      const fromSnapshot = new streamVersions.StreamVersions(clock);
      const state = new sharedState.SharedState(streams);
      const text = JSON.stringify({ version: 1, text: '{}' });
      state.apply(1, Buffer.from(text));
      new sharedState.SharedState(fromSnapshot).restore(state.snapshot());
      [restart(), fromSnapshot].forEach((known) => {
        known.recordListed(SERVICE, ['v1', version]);
        expect(known.versionOf('a', SERVICE)).toBe(version);
        expect(known.versionOf('b', SERVICE)).toBe('v1');
      });
    },
  );

  it('forgets a version a minute after its last endpoint has left', async () => {
    streams.recordListed(SERVICE, ['v1', 'v2']);
    await clock.advance(INTERVAL_MS);
    for (let passed = 0; passed <= 2 * RETENTION_MS; passed += 1000) {
      streams.recordListed(SERVICE, ['v2']);
      await clock.advance(1000);
    }
    expect([...streams.loggedVersions]).toEqual([[SERVICE, ['v2']]]);
    const restarted = restart();
    restarted.recordListed(SERVICE, ['v2']);
    expect(restarted.versionOf('unrecorded', SERVICE)).toBe('v2');
  });

  it('leaves out streams that cannot be taken up, and records very long ids under a short one', async () => {
    streams.recordListed(SERVICE, ['v1', 'v2']);
    begin('once', 'v1', false);
    begin('x'.repeat(200), 'v1');
    begin('a', 'v1');
    await clock.advance(2 * INTERVAL_MS);
    expect(commands.map((command) => versionRecord.decode(command)?.streams)).toEqual([
      { v1: [expect.stringMatching(/^[\w-]{43}$/), 'a'] },
    ]);
    expect(restart().versionOf('x'.repeat(200), SERVICE)).toBe('v1');
  });

  it('records the later version of a request that was sent again before its first event', async () => {
    streams.recordListed(SERVICE, ['v1', 'v2']);
    begin('a', 'v1');
    await clock.advance(INTERVAL_MS);
    begin('a', 'v2');
    await clock.advance(INTERVAL_MS);
    expect(restart().versionOf('a', SERVICE)).toBe('v2');
  });

  it('records later what the log did not take, with one line for the failures', async () => {
    streams.recordListed(SERVICE, ['v1', 'v2']);
    begin('a', 'v1');
    failure = new Error('no quorum');
    await clock.advance(30 * INTERVAL_MS);
    expect(commands).toEqual([]);
    failure = undefined;
    begin('b', 'v2');
    await clock.advance(10 * INTERVAL_MS);
    const restarted = restart();
    expect([restarted.versionOf('a', SERVICE), restarted.versionOf('b', SERVICE)]).toEqual([
      'v1',
      'v2',
    ]);
    const lines = logService.events.filter(({ event }) => event.startsWith('streams-'));
    expect(lines.map(({ event }) => event)).toEqual([
      'streams-not-recorded',
      'streams-recorded-again',
    ]);
  });

  it('records nothing while another VM leads, and all that it learned once it leads', async () => {
    isActive = false;
    streams.recordListed(SERVICE, ['v1', 'v2']);
    streams.merge([{ requestId: 'told', version: 'v2', age: 500 }]);
    await clock.advance(10 * INTERVAL_MS);
    expect(commands).toEqual([]);
    isActive = true;
    await clock.advance(INTERVAL_MS);
    expect(restart().versionOf('told', SERVICE)).toBe('v2');
  });

  it('needs less than 25 bytes for the record of a stream', async () => {
    streams.recordListed(SERVICE, ['v1', 'v2']);
    for (let at = 0; at < 20_000; at++) {
      begin(at.toString(16).padStart(16, '0'), at % 2 === 0 ? 'v1' : 'v2');
    }
    await clock.advance(11 * INTERVAL_MS);
    const bytes = commands.reduce((sum, command) => sum + command.length, 0);
    expect(bytes / 20_000).toBeLessThan(25);
    const restarted = restart();
    expect(restarted.versionOf('0000000000004e1f', SERVICE)).toBe('v2');
  });
});

describe('StreamVersions after a start', () => {
  const clock = new manualClock.ManualClock();

  it('takes the only version that it sees for the only one that was there after a minute', async () => {
    const streams = new streamVersions.StreamVersions(clock);
    streams.recordListed(SERVICE, ['v2']);
    expect(streams.versionOf('a', SERVICE)).toBeUndefined();
    await clock.advance(RETENTION_MS + 1);
    streams.recordListed(SERVICE, ['v2']);
    expect(streams.versionOf('a', SERVICE)).toBe('v2');
  });

  it('regards the versions of the log as current when it begins to lead', async () => {
    const streams = new streamVersions.StreamVersions(clock);
    streams.recordLogged(SERVICE, ['v1']);
    await clock.advance(2 * RETENTION_MS);
    streams.renewLogged();
    streams.recordListed(SERVICE, ['v2']);
    expect(streams.versionOf('a', SERVICE)).toBeUndefined();
  });
});

describe('SharedState', () => {
  const clock = new manualClock.ManualClock();
  const document = { version: 7, text: '{"a":1}' };

  function makeState(): {
    readonly streams: streamVersions.StreamVersions;
    readonly state: sharedState.SharedState;
  } {
    const streams = new streamVersions.StreamVersions(clock);
    return { streams, state: new sharedState.SharedState(streams) };
  }

  function fill(state: sharedState.SharedState): void {
    state.apply(1, documentState.DocumentState.encode(document));
    const record = { services: { [SERVICE]: ['v1', 'v2'] }, streams: { v1: ['a'], v2: ['b'] } };
    state.apply(2, versionRecord.encode(record));
  }

  it('keeps the document and the versions across a snapshot', () => {
    const { state } = makeState();
    fill(state);
    const restored = makeState();
    restored.state.restore(state.snapshot());
    expect(restored.state.document.current).toEqual(document);
    expect(restored.streams.versionOf('a', SERVICE)).toBe('v1');
    expect(restored.streams.versionOf('b', SERVICE)).toBe('v2');
    expect([...restored.streams.loggedVersions]).toEqual([[SERVICE, ['v1', 'v2']]]);
  });

  it('is read by a build that knows the document alone, which passes over records', () => {
    const { state } = makeState();
    fill(state);
    const earlier = new documentState.DocumentState();
    earlier.restore(state.snapshot());
    earlier.apply(3, versionRecord.encode({ services: {}, streams: { v1: ['c'] } }));
    expect(earlier.current).toEqual(document);
  });

  it('reads snapshots of a build that knows the document alone', () => {
    const earlier = new documentState.DocumentState();
    earlier.apply(1, documentState.DocumentState.encode(document));
    const { state } = makeState();
    state.restore(earlier.snapshot());
    expect(state.document.current).toEqual(document);
  });

  it('leaves out records of a kind that it does not know, and says so', () => {
    const { state } = makeState();
    const unknown: number[] = [];
    state.onUnknownRecord((index) => unknown.push(index));
    fill(state);
    state.apply(3, Buffer.from('{"record":"later","services":1}'));
    expect(unknown).toEqual([3]);
    expect(state.document.current).toEqual(document);
  });
});
