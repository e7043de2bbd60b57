import * as vitest from 'vitest';
import * as manualClock from '../common/testing/ManualClock.js';
import * as recordingLog from '../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../common/testing/RecordingMetricsService.js';
import * as membershipTable from './MembershipTable.js';
import * as types from './Types.js';

function makeTable(): membershipTable.MembershipTable {
  return new membershipTable.MembershipTable(
    types.DEFAULT_MEMBERSHIP_OPTIONS,
    new manualClock.ManualClock(),
    new recordingLog.RecordingLogService(),
    new recordingMetrics.RecordingMetricsService(),
  );
}

function list(generation: number, leaving: string, names = 'abcd'): types.IPlatformList {
  const vms = [...names].map((name) => ({
    name,
    address: `${name}:1`,
    state: leaving.includes(name) ? ('leaving' as const) : ('live' as const),
  }));
  return { generation, vms };
}

vitest.describe('MembershipTable', () => {
  vitest.it('rejects a leaving endpoint until a newer list reports it live', () => {
    const table = makeTable();
    table.applyList(list(1, ''));
    vitest.expect(table.accepts('a')).toBe(true);
    table.applyList(list(3, 'a'));
    vitest.expect(table.accepts('a')).toBe(false);
    table.applyList(list(2, ''));
    table.applyList(list(3, ''));
    vitest.expect(table.accepts('a')).toBe(false);
    table.applyList(list(4, ''));
    vitest.expect(table.accepts('a')).toBe(true);
  });

  vitest.it('does not trust a list that is empty or lacks too many endpoints', () => {
    const table = makeTable();
    table.applyList(list(1, ''));
    ['a', 'b', 'c', 'd'].forEach((name) => table.observe(name, false));
    table.applyList(list(2, '', ''));
    vitest.expect(['a', 'b', 'c', 'd'].every((name) => table.accepts(name))).toBe(true);
    table.applyList(list(3, '', 'd'));
    vitest.expect(table.accepts('a')).toBe(true);
  });

  vitest.it('rejects a missing endpoint only after a call to it failed', () => {
    const table = makeTable();
    table.applyList(list(1, ''));
    table.applyList(list(2, '', 'bcd'));
    vitest.expect(table.accepts('a')).toBe(true);
    table.observe('a', false);
    vitest.expect(table.accepts('a')).toBe(false);
  });

  vitest.it(
    'prefers the newer generation of list and hint, and leaving within one generation',
    () => {
      const table = makeTable();
      table.applyList(list(5, ''));
      const hint = { endpoint: 'a', leaving: true, incarnation: '' };
      vitest.expect(table.applyHint({ ...hint, generation: 4 })).toBe(false);
      vitest.expect(table.accepts('a')).toBe(true);
      vitest.expect(table.applyHint({ ...hint, generation: 5 })).toBe(true);
      vitest.expect(table.applyHint({ ...hint, generation: 5 })).toBe(false);
      table.applyList(list(5, ''));
      vitest.expect(table.accepts('a')).toBe(false);
    },
  );

  vitest.it('resets the leaving state of an endpoint with a new incarnation', () => {
    const table = makeTable();
    const restarts: string[] = [];
    table.onRestart((name) => restarts.push(name));
    table.observeIncarnation('a', '1');
    table.applyList(list(1, 'a'));
    table.observeIncarnation('a', '1');
    vitest.expect(table.accepts('a')).toBe(false);
    table.observeIncarnation('a', '2');
    vitest.expect(table.accepts('a')).toBe(true);
    vitest.expect(restarts).toEqual(['a']);
  });
});
