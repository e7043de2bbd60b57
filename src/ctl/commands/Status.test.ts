import * as vitest from 'vitest';
import * as declarations from '../../config/Declaration.js';
import * as sample from '../../config/testing/SampleDeclaration.js';
import * as status from './Status.js';

const NOW = 1_000_000;

const SAMPLE: status.IStatus = {
  now: NOW,
  control: {
    replica: 'c1',
    role: 'leader',
    term: 3,
    leader: 'c1',
    commitIndex: 9,
    appliedIndex: 9,
    members: [
      { id: 'c1', address: '127.0.0.1:7101', voter: true },
      { id: 'c2', address: '127.0.0.1:7102', voter: false },
    ],
    configurationVersion: 7,
    ledgerRecords: 5,
    ledgerUnknown: 1,
    stateBytes: 0,
  },
  entries: [
    {
      incarnation: 'a',
      name: 'entry-1',
      zone: 'zone-a',
      leaseUntil: NOW + 4000,
      versionInForce: 7,
    },
    { incarnation: 'b', name: 'entry-2', zone: 'zone-a', leaseUntil: NOW - 1, versionInForce: 6 },
  ],
  quarantine: {
    revision: 1,
    requests: [{ fingerprint: 'f', state: 'quarantined', time: NOW, endpoints: ['llm-1'] }],
    crashes: [],
    reports: [],
  },
  orders: [],
  declaration: declarations.parseDeclaration('sample.toml', sample.SAMPLE_TOML),
};

vitest.describe('renderStatus', () => {
  const text = status.renderStatus(SAMPLE);

  vitest.it('distinguishes entry VMs with an older version from those that are current', () => {
    vitest.expect(text).toContain('version 7 in force on 1 of 2');
    vitest.expect(text).toMatch(/entry-2.*lease over.*6 \(behind\)/);
    vitest.expect(text).toMatch(/entry-1.*live, lease 4\.0 s.* 7 /);
  });

  vitest.it('shows member roles, pools, unknown outcomes and quarantined requests', () => {
    vitest.expect(text).toMatch(/c2.*learner/);
    vitest.expect(text).toMatch(/llm .*generation .*1 .*zone-a/);
    vitest.expect(text).toContain('5 records, 1 of unknown outcome');
    vitest.expect(text).toContain('crashed endpoints: 1 quarantined');
    vitest.expect(text).toContain('orders to engines: none');
  });

  vitest.it('reports that there is no declaration before the first version', () => {
    vitest
      .expect(status.renderStatus({ ...SAMPLE, declaration: undefined }))
      .toContain('no declaration in force yet');
  });
});
