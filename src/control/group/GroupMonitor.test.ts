import * as vitest from 'vitest';
import * as metricsRegistry from '../../common/services/MetricsRegistry.js';
import * as manualClock from '../../common/testing/ManualClock.js';
import * as recordingLog from '../../common/testing/RecordingLogService.js';
import type * as controlTypes from '../Types.js';
import * as groupMonitor from './GroupMonitor.js';

const { expect, test } = vitest;

const MEMBER = { id: 'c1', address: 'c1', voter: true, incarnation: 'i1' };
const STATUS: controlTypes.IReplicaStatus = {
  id: 'c1',
  incarnation: 'i1',
  role: 'follower',
  term: 3,
  leaderId: undefined,
  hasLeader: false,
  isVoter: true,

  isStateCurrent: false,
  commitIndex: 1,
  appliedIndex: 1,
  members: [MEMBER],
};

async function monitor(replica: groupMonitor.IGroupMonitorServices['log']) {
  const clock = new manualClock.ManualClock();
  const logService = new recordingLog.RecordingLogService();
  const metrics = new metricsRegistry.MetricsRegistry();
  const created = new groupMonitor.GroupMonitor({ log: replica, clock, logService, metrics });
  await clock.advance(2000);
  return { clock, logService, metrics, created };
}

test.each([
  ['no-group', { members: [] }],
  ['no-quorum', {}],
  ['not-a-voter', { isVoter: false }],
] as const)('tells a group without a leader apart: %s', async (reason, change) => {
  const replica = { status: () => ({ ...STATUS, ...change }) };
  const { logService, metrics, created } = await monitor(replica);
  const reports = logService.events.filter(({ event }) => event === 'group-unavailable');
  expect(reports).toMatchObject([{ fields: { reason, term: 3 } }]);
  expect(metrics.render()).toContain(`anvildeck_group_unavailable_total{reason="${reason}"} 1`);
  expect(metrics.render()).toContain('anvildeck_group_has_leader 0');
  created.dispose();
});

test('reports once that the leader is back, and stays silent while there is one', async () => {
  let hasLeader = false;
  const replica = { status: () => ({ ...STATUS, hasLeader }) };
  const { clock, logService, created } = await monitor(replica);
  hasLeader = true;
  await clock.advance(20_000);
  expect(logService.events.map(({ event }) => event)).toEqual([
    'group-unavailable',
    'group-available',
  ]);
  created.dispose();
});
