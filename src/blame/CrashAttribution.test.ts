import * as vitest from 'vitest';
import * as manualClock from '../common/testing/ManualClock.js';
import * as recordingLog from '../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../common/testing/RecordingMetricsService.js';
import type * as routing from '../routing/Types.js';
import * as blameTable from './BlameTable.js';
import * as crashAttribution from './CrashAttribution.js';
import * as fakeCrashConfirmer from './testing/FakeCrashConfirmer.js';

const { beforeEach, describe, expect, it } = vitest;
/** Time after which an incident is decided. */
const DECIDED_MS = 210;

function engine(id: string): routing.IEndpoint {
  return {
    id,
    service: 's',
    address: '127.0.0.1:1',
    availabilityZone: 'a',
    slots: 4,
    draining: false,
  };
}

describe('CrashAttribution', () => {
  let clock: manualClock.ManualClock;
  let log: recordingLog.RecordingLogService;
  let metrics: recordingMetrics.RecordingMetricsService;
  let table: blameTable.BlameTable;
  let confirmer: fakeCrashConfirmer.FakeCrashConfirmer;
  let attribution: crashAttribution.CrashAttribution;

  beforeEach(() => {
    clock = new manualClock.ManualClock();
    log = new recordingLog.RecordingLogService();
    metrics = new recordingMetrics.RecordingMetricsService();
    confirmer = new fakeCrashConfirmer.FakeCrashConfirmer();
    confirmer.crashed.add('e1');
    table = new blameTable.BlameTable({ clock, logService: log, metrics });
    attribution = new crashAttribution.CrashAttribution({
      clock,
      table,
      confirmer,
      logService: log,
      metrics,
    });
  });

  function place(id: string, endpointId = 'e1'): void {
    attribution.recordPlaced(id, engine(endpointId), { request: id, parts: [`part-of-${id}`] });
  }

  /** Requests that are suspected. */
  function suspects(): readonly string[] {
    return table.news.crashes.flatMap((crash) => crash.suspects.map(({ request }) => request));
  }

  it('suspects the requests whose answer had not begun, at this engine only', async () => {
    ['guilty', 'waiting', 'running'].forEach((id) => place(id));
    place('elsewhere', 'e2');
    attribution.recordStarted('running');
    await clock.advance(300);
    attribution.recordEnded('running', 'broken');
    await clock.advance(DECIDED_MS);
    expect(suspects()).toEqual(['guilty', 'waiting']);
    expect(metrics.counters.get('endpoint_crashes{}')).toBe(1);
    expect(log.events.find(({ event }) => event === 'endpoint-crashed')).toMatchObject({
      fields: { endpoint: 'e1', suspects: 'guilty,waiting' },
    });
  });

  it('suspects a request whose answer had just begun', async () => {
    place('recent');
    attribution.recordStarted('recent');
    await clock.advance(200);
    attribution.recordEnded('recent', 'broken');
    await clock.advance(DECIDED_MS);
    expect(suspects()).toEqual(['recent']);
  });

  it('suspects nobody when the crash is not confirmed', async () => {
    confirmer.crashed.clear();
    place('a');
    place('b');
    attribution.recordEnded('a', 'broken');
    await clock.advance(DECIDED_MS);
    expect(suspects()).toEqual([]);
    expect(metrics.counters.get('endpoint_crashes{}')).toBeUndefined();
    expect(log.events.map(({ event }) => event)).toEqual(['endpoint-crash-not-confirmed']);
  });

  it('counts reports of other VMs that arrive later, and checks the engine once', async () => {
    ['guilty', 'whole', 'refused'].forEach((id) => place(id));
    attribution.recordStarted('whole');
    attribution.recordEnded('guilty', 'broken');
    await clock.advance(100);
    attribution.recordEnded('whole', 'whole');
    attribution.recordEnded('refused', 'not-run');
    await clock.advance(DECIDED_MS);
    expect(suspects()).toEqual(['guilty']);
    place('next');
    attribution.recordEnded('unknown', 'broken', 'e1');
    await clock.advance(DECIDED_MS);
    expect(confirmer.checked).toEqual(['e1']);
  });

  it('opens an incident for the failure of a request that another planner had placed', async () => {
    place('guilty');
    attribution.recordEnded('unknown', 'broken', 'e1');
    await clock.advance(DECIDED_MS);
    expect(suspects()).toEqual(['guilty']);
  });

  it('checks no engine for requests that left or were not run', async () => {
    ['a', 'b', 'c'].forEach((id) => place(id));
    attribution.recordEnded('a', 'left');
    attribution.recordEnded('b', 'not-run');
    attribution.recordEnded('c', 'whole');
    await clock.advance(DECIDED_MS);
    expect(confirmer.checked).toEqual([]);
  });

  it('clears a request once its engine lives on, or it ends whole', async () => {
    place('long', 'e2');
    place('short', 'e2');
    ['long', 'short'].forEach((id) => attribution.recordStarted(id));
    attribution.recordEnded('short', 'whole');
    await clock.advance(crashAttribution.PROOF_DELAY_MS);
    place('long');
    place('short');
    place('other');
    attribution.recordEnded('other', 'broken');
    await clock.advance(DECIDED_MS);
    expect(suspects()).toEqual(['other']);
  });

  it('does not clear a request that ended whole without a successful answer', async () => {
    place('error', 'e2');
    attribution.recordEnded('error', 'whole');
    place('error');
    attribution.recordEnded('error', 'broken');
    await clock.advance(DECIDED_MS);
    expect(suspects()).toEqual(['error']);
  });

  it('does not clear a request whose engine crashed, though its VM reports that never', async () => {
    place('guilty');
    place('beside');
    attribution.recordStarted('guilty');
    await clock.advance(100);
    attribution.recordEnded('beside', 'broken');
    await clock.advance(DECIDED_MS + crashAttribution.PROOF_DELAY_MS);
    expect(suspects()).toContain('guilty');
    expect(table.news.proofs).toEqual([]);
  });
});
