import * as control from '#wire/control.js';
import * as vitest from 'vitest';
import * as latencyBuckets from '../../common/LatencyBuckets.js';
import * as messages from '../../common/wire/Messages.js';
import * as controlState from './ControlState.js';
import * as limits from './Limits.js';

const { describe, expect, it } = vitest;
const { DecisionState, OutcomeState } = control.wire;
const { LIMITS } = limits;
const START = 1_700_000_000_000;
const HOUR_MS = 3_600_000;
const DAY_MS = 24 * HOUR_MS;

type Command = control.wire.Command.$Properties;

/** The state with a clock of commands. */
class Bed {
  state = new controlState.ControlState();

  time = START;

  run(command: Command): messages.Message<control.wire.Result.$Properties> {
    const bytes = messages.encode(control.wire.Command, { time: this.time, ...command });
    return messages.decode(control.wire.Result, this.state.apply(1, bytes));
  }

  beat(incarnation: string, more: control.wire.Beat.$Properties = {}): void {
    this.run({ tick: { beats: [{ incarnation, name: incarnation, ...more }] } });
  }

  begin(key: string, token: string, incarnation: string): control.wire.DecisionState | undefined {
    const named = { workspace: 'w', target: 't', key, token, incarnation };
    return this.run({ ledgerBegin: { ...named, bodyHash: 'b' } }).ledger?.state;
  }

  report(incarnation: string, sequence: number, count: number): void {
    const counted = { workspace: 'w', target: 't', kind: 'k', outcome: 'in-time' };
    const period = Math.floor(this.time / HOUR_MS) * HOUR_MS;
    const costs = [{ stage: 'generate', cost: 2, attempts: 1 }];
    const row = { ...counted, period, span: HOUR_MS, count, latency: [count], costs };
    this.run({ actor: incarnation, accountingReport: { incarnation, sequence, rows: [row] } });
  }

  restart(): void {
    const snapshot = this.state.snapshot();
    this.state = new controlState.ControlState();
    this.state.restore(snapshot);
    expect(Buffer.from(this.state.snapshot()).equals(Buffer.from(snapshot))).toBe(true);
  }
}

describe('leases', () => {
  it('make the calls of a silent entry unknown, and its late word still counts', () => {
    const bed = new Bed();
    expect(bed.begin('k', 't1', 'e1')).toBe(DecisionState.DECISION_REFUSED);
    bed.beat('e1');
    expect(bed.begin('k', 't1', 'e1')).toBe(DecisionState.DECISION_GRANTED);
    bed.time += LIMITS.entryLeaseMs + 1;
    // Time alone ends no lease; the tick of a leader does.
    expect(bed.begin('k', 't2', 'e1')).toBe(DecisionState.DECISION_RUNNING);
    bed.beat('e2');
    expect(bed.begin('k', 't2', 'e2')).toBe(DecisionState.DECISION_UNKNOWN);
    bed.restart();
    const ledgerFinish = { workspace: 'w', target: 't', key: 'k', token: 't1' };
    bed.run({ ledgerFinish: { ...ledgerFinish, outcome: OutcomeState.OUTCOME_FINISHED } });
    expect(bed.begin('k', 't2', 'e2')).toBe(DecisionState.DECISION_FINISHED);
  });

  it('start anew under a new leader', () => {
    const bed = new Bed();
    bed.beat('e1');
    bed.begin('k', 't1', 'e1');
    bed.time += 10 * LIMITS.entryLeaseMs;
    bed.run({ tick: { grace: true } });
    expect(bed.begin('k', 't2', 'e1')).toBe(DecisionState.DECISION_RUNNING);
  });

  it('never see time go back', () => {
    const bed = new Bed();
    bed.beat('e1');
    bed.time -= DAY_MS;
    bed.beat('e2');
    expect(bed.state.now).toBe(START);
    expect(bed.state.entries.list().length).toBe(2);
  });
});

it('gives a replica that starts from a snapshot the same state, whatever the order of ends', () => {
  const bed = new Bed();
  bed.beat('e1');
  ['a', 'b', 'c', 'd'].forEach((key) => bed.begin(key, `t-${key}`, 'e1'));
  ['c', 'a', 'b'].forEach((key) => {
    const ended = { workspace: 'w', target: 't', key, token: `t-${key}` };
    const answer = { status: 200, body: new Uint8Array(10) };
    bed.run({ ledgerFinish: { ...ended, outcome: OutcomeState.OUTCOME_FINISHED, answer } });
  });
  const keys = () => bed.state.ledger.list(10, () => true).map(({ key }) => key);
  expect(keys()).toEqual(['d', 'c', 'a', 'b']);
  bed.restart();
  expect(keys()).toEqual(['d', 'c', 'a', 'b']);
});

describe('quarantine', () => {
  it('blames nobody again for a report that was sent again much later', () => {
    const bed = new Bed();
    const crashReport = { endpoint: 'llm-1', reportId: 'r1', fingerprints: ['slow'] };
    bed.run({ crashReport });
    bed.restart();
    bed.time += 60_000;
    bed.run({ crashReport });
    expect(bed.state.quarantine.snapshot().requests?.[0]?.state).toBe('suspect');
    bed.run({ crashReport: { ...crashReport, reportId: 'r2' } });
    expect(bed.state.quarantine.snapshot().requests?.[0]?.state).toBe('quarantined');
  });

  it('blames once for a crash that several entries saw, and quarantines at the second', () => {
    const bed = new Bed();
    const crash = (endpoint: string, ...fingerprints: string[]) =>
      bed.run({ crashReport: { endpoint, fingerprints } });
    crash('llm-1', 'bad', 'innocent');
    bed.time += 500;
    crash('llm-1', 'bad');
    const stateOf = (fingerprint: string) =>
      bed.state.quarantine.snapshot().requests?.find((item) => item.fingerprint === fingerprint)
        ?.state;
    expect(stateOf('bad')).toBe('suspect');
    crash('llm-2', 'bad');
    expect([stateOf('bad'), stateOf('innocent')]).toEqual(['quarantined', 'suspect']);
    bed.restart();
    bed.time += LIMITS.suspectLifeMs + HOUR_MS;
    bed.beat('e1');
    expect([stateOf('bad'), stateOf('innocent')]).toEqual(['quarantined', undefined]);
    const lift = { quarantineLift: { fingerprint: 'bad', reason: 'engine mended' } };
    expect(bed.run(lift).done).not.toBeNull();
    expect(bed.run(lift).refusal?.code).toBe('not-quarantined');
    expect(bed.state.audit.list(1)[0]).toMatchObject({ action: 'quarantine lift', subject: 'bad' });
  });
});

describe('accounting', () => {
  it('counts a report that came twice once, and merges old hours into days', () => {
    const bed = new Bed();
    bed.beat('e1');
    bed.report('e1', 1, 10);
    bed.report('e1', 1, 10);
    bed.time += HOUR_MS;
    bed.report('e1', 2, 5);
    const counts = () => bed.state.accounting.query(0, Infinity).rows?.map(({ count }) => count);
    expect(counts()).toEqual([10, 5]);
    bed.restart();
    bed.report('e1', 2, 5);
    expect(counts()).toEqual([10, 5]);
    bed.time += LIMITS.accountingHoursMs + DAY_MS;
    bed.beat('e1');
    const { rows } = bed.state.accounting.query(0, Infinity);
    expect(rows?.reduce((sum, row) => sum + (row.count ?? 0), 0)).toBe(15);
    expect(rows?.every(({ span }) => span === DAY_MS)).toBe(true);
    const cost = rows
      ?.flatMap((row) => row.costs ?? [])
      .reduce((sum, item) => sum + (item.cost ?? 0), 0);
    expect(cost).toBe(4);
  });

  it('shows what a killed entry did not report, and nothing for one that said farewell', () => {
    const bed = new Bed();
    bed.beat('killed');
    bed.beat('stopped');
    bed.report('killed', 1, 1);
    bed.beat('stopped', { farewell: true });
    bed.time += LIMITS.entryLeaseMs + 1;
    bed.beat('other');
    const { missing } = bed.state.accounting.query(0, Infinity);
    expect(missing?.map(({ incarnation }) => incarnation)).toEqual(['killed']);
  });

  it('finds quantiles in buckets of known bounds', () => {
    const counts = new Array<number>(latencyBuckets.LATENCY_BUCKET_COUNT).fill(0);
    counts[latencyBuckets.bucketOf(100)] = 95;
    counts[latencyBuckets.bucketOf(5000)] = 5;
    const median = latencyBuckets.quantile(counts, 0.5) ?? 0;
    expect(median).toBeGreaterThanOrEqual(100);
    expect(median).toBeLessThan(200);
    expect(latencyBuckets.quantile(counts, 0.99)).toBeGreaterThanOrEqual(5000);
    expect(latencyBuckets.quantile([], 0.5)).toBeUndefined();
  });
});
