import * as vitest from 'vitest';
import * as manualClock from '../common/testing/ManualClock.js';
import * as recordingLog from '../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../common/testing/RecordingMetricsService.js';
import * as blameTable from './BlameTable.js';
import type * as types from './Types.js';
import * as verdictRules from './VerdictRules.js';

const { beforeEach, describe, expect, it } = vitest;
const MINUTE_MS = 60_000;

describe('BlameTable', () => {
  let clock: manualClock.ManualClock;
  let log: recordingLog.RecordingLogService;
  let metrics: recordingMetrics.RecordingMetricsService;
  let table: blameTable.BlameTable;
  let crashCount = 0;

  beforeEach(() => {
    clock = new manualClock.ManualClock();
    log = new recordingLog.RecordingLogService();
    metrics = new recordingMetrics.RecordingMetricsService();
    table = new blameTable.BlameTable({ clock, logService: log, metrics });
    crashCount = 0;
  });

  /** A request, named by its id and its parts: `a:p,q`. */
  function traitsOf(text: string): types.IRequestTraits {
    const [request = '', parts = ''] = text.split(':');
    return { request, parts: parts === '' ? [] : parts.split(',') };
  }

  /** Records the crash of an engine with these requests, which were sent `placedAge` before. */
  function crash(requests: readonly string[], placedAge = 100): void {
    const at = clock.monotonic();
    crashCount += 1;
    table.recordCrash({
      id: `crash-${crashCount}`,
      endpointId: `engine-${crashCount}`,
      at,
      suspects: requests.map((text) => ({ ...traitsOf(text), placedAt: at - placedAge })),
    });
  }

  function isRefused(text: string): boolean {
    return table.refusalOf(traitsOf(text)) !== undefined;
  }

  function eventsOf(name: string): readonly recordingLog.IRecordedEvent[] {
    return log.events.filter(({ event }) => event === name);
  }

  it('joins the records that several VMs make of one crash, in any order', async () => {
    const record = (vm: string, endpointId: string, age: number, request: string) => ({
      id: `${endpointId}@${vm}`,
      endpointId,
      age,
      suspects: [{ request, parts: [], placedAge: age + 100 }],
    });
    // The victim is at both crashes, with another VM than the cause.
    const records = [
      record('vm-1', 'e1', 9000, 'cause'),
      record('vm-2', 'e1', 8950, 'victim'),
      record('vm-3', 'e2', 5000, 'cause'),
      record('vm-2', 'e2', 5040, 'victim'),
      record('vm-1', 'e3', 1000, 'cause'),
    ];
    [records, [...records].reverse()].forEach((ordered) => {
      table = new blameTable.BlameTable({ clock, logService: log, metrics });
      ordered.forEach((crashRecord) => table.merge({ crashes: [crashRecord], proofs: [] }));
      expect([isRefused('cause'), isRefused('victim')]).toEqual([true, false]);
    });
  });

  it('counts two crashes of an endpoint that starts again under the same id', async () => {
    const record = (age: number) => ({
      id: `e1@${age}`,
      endpointId: 'e1',
      age,
      suspects: [{ request: 'cause', parts: [], placedAge: age + 100 }],
    });
    table.merge({ crashes: [record(9000), record(5000)], proofs: [] });
    expect(isRefused('cause')).toBe(true);
  });

  it('refuses a part after two crashes that nothing else explains', async () => {
    table.recordProof(traitsOf('sound:first'));
    crash(['a:first,deadly', 'i:first']);
    expect(isRefused('b:first,deadly')).toBe(false);
    await clock.advance(2000);
    crash(['b:first,deadly', 'j:first']);
    expect(isRefused('c:first,deadly')).toBe(true);
    expect(isRefused('c:first')).toBe(false);
    expect(isRefused('i:first')).toBe(false);
    expect(eventsOf('trait-quarantined')).toMatchObject([
      { level: 'warn', fields: { trait: 'deadly', crashes: 'crash-1,crash-2', left: MINUTE_MS } },
    ]);
    expect(metrics.counters.get('traits_quarantined{}')).toBe(1);
  });

  it('refuses a quarantined part also beside one of two rivals, which alone is a trial', async () => {
    for (const request of ['a:c', 'b:c', 'd:x,y', 'e:x,y', 'f:x,y']) {
      crash([request]);
      await clock.advance(2000);
    }
    expect(['g:c', 'g:x', 'g:x,c'].map(isRefused)).toEqual([true, false, true]);
  });

  it('leaves out what it cannot read of the news of another VM', () => {
    const crashOf = (id: string, change: object): object => ({
      id,
      endpointId: `endpoint-${id}`,
      age: 100,
      suspects: [{ request: 'r', parts: ['p'], placedAge: 200 }],
      ...change,
    });
    const crashes = [
      null,
      crashOf('one', { suspects: undefined }),
      crashOf('two', { age: -1e9, suspects: [{ request: 'r' }, 7] }),
      crashOf('three', { endpointId: 4 }),
    ];
    [{}, { crashes, proofs: [{}, { trait: 't' }] }, undefined].forEach((news) =>
      table.merge(news as never),
    );
    expect(table.size.crashes).toBe(2);
    expect(isRefused('r:p')).toBe(false);
  });

  it('waits for a third crash while two parts explain both, and then refuses them together', async () => {
    crash(['a:deadly,beside']);
    await clock.advance(2000);
    crash(['b:deadly,beside']);
    expect(isRefused('c:deadly') || isRefused('c:beside')).toBe(false);
    await clock.advance(2000);
    crash(['c:deadly,beside']);
    expect(isRefused('d:deadly,beside')).toBe(true);
    expect(table.verdictOf(traitsOf('d:deadly'))).toMatchObject({ rivals: ['beside'] });
    expect(table.verdictOf(traitsOf('d:beside'))).toMatchObject({ rivals: ['deadly'] });
  });

  it('blames the part alone that crashes an engine without its rival', async () => {
    for (let count = 0; count < 3; count++) {
      crash([`${count}:deadly,beside`]);
      await clock.advance(2000);
    }
    expect(isRefused('d:deadly')).toBe(false);
    crash(['d:deadly']);
    expect([isRefused('e:deadly'), isRefused('e:beside')]).toEqual([true, false]);
  });

  it('blames the part that is left as soon as the other one succeeds', async () => {
    crash(['a:deadly,beside']);
    await clock.advance(2000);
    crash(['b:deadly,beside']);
    table.recordProof(traitsOf('c:beside'));
    expect([isRefused('d:deadly'), isRefused('d:beside')]).toEqual([true, false]);
  });

  it('blames the request, not its part, when only this request crashed engines', async () => {
    crash(['a:part']);
    await clock.advance(10);
    crash(['a:part'], 5);
    expect(isRefused('a:part')).toBe(true);
    expect(isRefused('b:part')).toBe(false);
  });

  it('blames the part at the third crash when the first request was sent twice', async () => {
    crash(['a:part']);
    await clock.advance(300);
    crash(['a:part'], 200);
    await clock.advance(2000);
    crash(['b:part']);
    expect(isRefused('c:part')).toBe(true);
  });

  it('blames no request that was sent again beside the one to blame', async () => {
    crash(['a:deadly', 'innocent:rare']);
    await clock.advance(300);
    crash(['a:deadly', 'innocent:rare'], 200);
    await clock.advance(2000);
    crash(['b:deadly']);
    expect(isRefused('c:deadly')).toBe(true);
    expect(isRefused('innocent:rare')).toBe(false);
    expect(isRefused('other:rare')).toBe(false);
  });

  it('counts crashes at the same time as one', async () => {
    ['a', 'b', 'c', 'd'].forEach((request) => crash([`${request}:part`]));
    await clock.advance(900);
    crash(['e:part'], 1000);
    expect(isRefused('f:part')).toBe(false);
    await clock.advance(1100);
    crash(['f:part']);
    expect(isRefused('g:part')).toBe(true);
  });

  it('blames nobody for crashes at the same time under requests that share nothing', async () => {
    crash(['a:part', 'b:other']);
    await clock.advance(2000);
    crash(['c:part', 'd:other']);
    crash(['e:third']);
    await clock.advance(2000);
    expect([isRefused('x:part'), isRefused('x:other')]).toEqual([false, false]);
    crash(['f:part']);
    // An engine without a request is lost at the same time.
    crash([]);
    expect(isRefused('x:part')).toBe(false);
  });

  it('takes crashes at the same time for one crash under what their requests share', async () => {
    crash(['a:part,beside']);
    await clock.advance(2000);
    crash(['b:part,beside']);
    crash(['c:part']);
    expect([isRefused('x:part'), isRefused('x:beside')]).toEqual([true, false]);
  });

  it('blames no request that met the crashes of a part three times', async () => {
    for (let count = 0; count < 3; count++) {
      crash([`${count}:deadly`, 'unlucky:rare']);
      await clock.advance(2000);
    }
    expect([isRefused('x:deadly'), isRefused('unlucky:rare')]).toEqual([true, false]);
  });

  it('counts a crash soon after another one if the suspect was sent in between', async () => {
    crash(['a:part']);
    await clock.advance(300);
    crash(['b:part'], 200);
    expect(isRefused('c:part')).toBe(true);
  });

  it('suspects no trait that succeeded within a minute, but later ones', async () => {
    table.recordProof(traitsOf('s:part'));
    await clock.advance(verdictRules.PROOF_VALIDITY_MS - 1);
    crash(['a:part']);
    await clock.advance(2000);
    crash(['b:part']);
    await clock.advance(2000);
    expect(isRefused('c:part')).toBe(false);
    crash(['c:part']);
    expect(isRefused('d:part')).toBe(true);
  });

  it('ends a quarantine after its time, and forgets the trait after a success', async () => {
    crash(['a:part']);
    await clock.advance(2000);
    crash(['b:part']);
    expect(table.refusalOf(traitsOf('c:part'))).toEqual({ trait: 'part', retryAfter: MINUTE_MS });
    await clock.advance(MINUTE_MS);
    expect(isRefused('c:part')).toBe(false);
    expect(table.verdictOf(traitsOf('c:part'))).toMatchObject({ trait: 'part' });
    table.recordProof(traitsOf('c:part'));
    expect(table.verdictOf(traitsOf('c:part'))).toBeUndefined();
    expect(eventsOf('trait-cleared')).toMatchObject([
      { fields: { trait: 'part', reason: 'succeeded' } },
    ]);
  });

  it('doubles the time with each crash after a quarantine, up to a bound', async () => {
    crash(['a:part']);
    await clock.advance(2000);
    crash(['b:part']);
    const durations: number[] = [];
    for (let round = 0; round < 6; round++) {
      const { retryAfter = 0 } = table.refusalOf(traitsOf('c:part')) ?? {};
      durations.push(retryAfter / MINUTE_MS);
      await clock.advance(retryAfter + 1);
      crash([`d${round}:part`]);
    }
    expect(durations).toEqual([1, 2, 4, 8, 10, 10]);
  });

  it('announces a verdict once, and again when its time is extended', async () => {
    const announced: string[] = [];
    table.onVerdict(({ trait }) => announced.push(trait));
    crash(['a:part']);
    await clock.advance(2000);
    crash(['b:part']);
    table.merge(table.news);
    expect(announced).toEqual(['part']);
    await clock.advance(2 * MINUTE_MS);
    crash(['c:part']);
    expect(announced).toEqual(['part', 'part']);
  });

  it('stays within its bounds and keeps a verdict, whatever callers send', async () => {
    crash(['a:part']);
    await clock.advance(2000);
    crash(['b:part']);
    await clock.advance(2000);
    for (let at = 0; at < 30_000; at++) {
      table.recordProof(traitsOf(`sound-${at}:part-${at}`));
    }
    for (let at = 0; at < 100; at++) {
      const requests = Array.from({ length: 150 }, (_, index) => `x-${at}-${index}:y-${at}`);
      crash(requests);
      await clock.advance(100);
    }
    expect(table.size.crashes).toBeLessThanOrEqual(64);
    expect(table.size.proofs).toBeLessThanOrEqual(20_000 + 64);
    expect(isRefused('c:part')).toBe(true);
  });

  it('forgets a verdict at last, without any success', async () => {
    crash(['a:part']);
    await clock.advance(2000);
    crash(['b:part']);
    await clock.advance(16 * MINUTE_MS);
    expect(table.verdictOf(traitsOf('c:part'))).toBeUndefined();
  });
});
