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

/** Runs commands on a ControlState with a clock that the test sets. */
class StateHarness {
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
  it('mark the calls of a silent entry as unknown, and accept its late finish', () => {
    const harness = new StateHarness();
    expect(harness.begin('k', 't1', 'e1')).toBe(DecisionState.DECISION_REFUSED);
    harness.beat('e1');
    expect(harness.begin('k', 't1', 'e1')).toBe(DecisionState.DECISION_GRANTED);
    harness.time += LIMITS.entryLeaseMs + 1;
    // A lease ends only with the tick of a leader, not by the passage of time alone.
    expect(harness.begin('k', 't2', 'e1')).toBe(DecisionState.DECISION_RUNNING);
    harness.beat('e2');
    expect(harness.begin('k', 't2', 'e2')).toBe(DecisionState.DECISION_UNKNOWN);
    harness.restart();
    const ledgerFinish = { workspace: 'w', target: 't', key: 'k', token: 't1' };
    harness.run({ ledgerFinish: { ...ledgerFinish, outcome: OutcomeState.OUTCOME_FINISHED } });
    expect(harness.begin('k', 't2', 'e2')).toBe(DecisionState.DECISION_FINISHED);
  });

  it('are renewed by a new leader', () => {
    const harness = new StateHarness();
    harness.beat('e1');
    harness.begin('k', 't1', 'e1');
    harness.time += 10 * LIMITS.entryLeaseMs;
    harness.run({ tick: { grace: true } });
    expect(harness.begin('k', 't2', 'e1')).toBe(DecisionState.DECISION_RUNNING);
  });

  it('ignore a command time that is lower than an earlier one', () => {
    const harness = new StateHarness();
    harness.beat('e1');
    harness.time -= DAY_MS;
    harness.beat('e2');
    expect(harness.state.now).toBe(START);
    expect(harness.state.entries.list().length).toBe(2);
  });
});

it('restores the same ledger order from a snapshot, whatever the order in which calls finished', () => {
  const harness = new StateHarness();
  harness.beat('e1');
  ['a', 'b', 'c', 'd'].forEach((key) => harness.begin(key, `t-${key}`, 'e1'));
  ['c', 'a', 'b'].forEach((key) => {
    const ended = { workspace: 'w', target: 't', key, token: `t-${key}` };
    const answer = { status: 200, body: new Uint8Array(10) };
    harness.run({ ledgerFinish: { ...ended, outcome: OutcomeState.OUTCOME_FINISHED, answer } });
  });
  const keys = () => harness.state.ledger.list(10, () => true).map(({ key }) => key);
  expect(keys()).toEqual(['d', 'c', 'a', 'b']);
  harness.restart();
  expect(keys()).toEqual(['d', 'c', 'a', 'b']);
});

describe('quarantine', () => {
  it('does not count a report that is resent much later', () => {
    const harness = new StateHarness();
    const crashReport = { endpoint: 'llm-1', reportId: 'r1', fingerprints: ['slow'] };
    harness.run({ crashReport });
    harness.restart();
    harness.time += 60_000;
    harness.run({ crashReport });
    expect(harness.state.quarantine.snapshot().requests?.[0]?.state).toBe('suspect');
    harness.run({ crashReport: { ...crashReport, reportId: 'r2' } });
    expect(harness.state.quarantine.snapshot().requests?.[0]?.state).toBe('quarantined');
  });

  it('counts a crash that several entries report once, and quarantines at the second crash', () => {
    const harness = new StateHarness();
    const crash = (endpoint: string, ...fingerprints: string[]) =>
      harness.run({ crashReport: { endpoint, fingerprints } });
    crash('llm-1', 'bad', 'innocent');
    harness.time += 500;
    crash('llm-1', 'bad');
    const stateOf = (fingerprint: string) =>
      harness.state.quarantine.snapshot().requests?.find((item) => item.fingerprint === fingerprint)
        ?.state;
    expect(stateOf('bad')).toBe('suspect');
    crash('llm-2', 'bad');
    expect([stateOf('bad'), stateOf('innocent')]).toEqual(['quarantined', 'suspect']);
    harness.restart();
    harness.time += LIMITS.suspectRetentionMs + HOUR_MS;
    harness.beat('e1');
    expect([stateOf('bad'), stateOf('innocent')]).toEqual(['quarantined', undefined]);
    const lift = { quarantineLift: { fingerprint: 'bad', reason: 'engine mended' } };
    expect(harness.run(lift).done).not.toBeNull();
    expect(harness.run(lift).refusal?.code).toBe('not-quarantined');
    expect(harness.state.audit.list(1)[0]).toMatchObject({
      action: 'quarantine lift',
      subject: 'bad',
    });
  });
});

describe('accounting', () => {
  it('counts a resent report once, and merges old hours into days', () => {
    const harness = new StateHarness();
    harness.beat('e1');
    harness.report('e1', 1, 10);
    harness.report('e1', 1, 10);
    harness.time += HOUR_MS;
    harness.report('e1', 2, 5);
    const counts = () =>
      harness.state.accounting.query(0, Infinity).rows?.map(({ count }) => count);
    expect(counts()).toEqual([10, 5]);
    harness.restart();
    harness.report('e1', 2, 5);
    expect(counts()).toEqual([10, 5]);
    harness.time += LIMITS.hourlyAccountingRetentionMs + DAY_MS;
    harness.beat('e1');
    const { rows } = harness.state.accounting.query(0, Infinity);
    expect(rows?.reduce((sum, row) => sum + (row.count ?? 0), 0)).toBe(15);
    expect(rows?.every(({ span }) => span === DAY_MS)).toBe(true);
    const cost = rows
      ?.flatMap((row) => row.costs ?? [])
      .reduce((sum, item) => sum + (item.cost ?? 0), 0);
    expect(cost).toBe(4);
  });

  it('shows a gap for a killed entry, and none for one that said farewell', () => {
    const harness = new StateHarness();
    harness.beat('killed');
    harness.beat('stopped');
    harness.report('killed', 1, 1);
    harness.beat('stopped', { farewell: true });
    harness.time += LIMITS.entryLeaseMs + 1;
    harness.beat('other');
    const { missing } = harness.state.accounting.query(0, Infinity);
    expect(missing?.map(({ incarnation }) => incarnation)).toEqual(['killed']);
  });

  it('derives quantiles from histogram buckets', () => {
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

describe('zones out of service', () => {
  it('follow the last order, repeated or not, survive a snapshot, and are in the audit trail', () => {
    const harness = new StateHarness();
    const order = (zone: string, closed: boolean): unknown =>
      harness.run({ actor: 'ann', zoneOrder: { zone, closed, reason: 'power' } }).done;
    [true, true, false, false, true].forEach((closed) => expect(order('a', closed)).not.toBeNull());
    order('b', true);
    harness.restart();
    expect(harness.state.zones.current).toEqual({ revision: 4, zones: ['a', 'b'] });
    order('a', true);
    expect(harness.state.zones.current.revision).toBe(4);
    expect(
      harness.state.audit.list(10).map(({ action, subject }) => `${action} ${subject}`),
    ).toEqual(['zone drain b', 'zone drain a', 'zone restore a', 'zone drain a']);
  });
});
