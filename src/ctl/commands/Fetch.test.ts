import * as fs from 'node:fs';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as vitest from 'vitest';
import * as disposableStore from '../../common/DisposableStore.js';
import * as latencyBuckets from '../../common/LatencyBuckets.js';
import * as seededRandom from '../../common/SeededRandom.js';
import * as systemClock from '../../common/SystemClock.js';
import * as recordingLog from '../../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../../common/testing/RecordingMetricsService.js';
import * as sample from '../../config/testing/SampleDeclaration.js';
import * as controlClient from '../../control/client/ControlClient.js';
import * as controlProcess from '../../control/ControlProcess.js';
import * as spans from '../../report/Spans.js';
import * as textReport from '../../report/TextReport.js';
import * as report from './Report.js';
import * as status from './Status.js';

const PERIOD = Date.UTC(2026, 11, 3, 9);
const NOW = Date.UTC(2026, 11, 4);

async function findFreeAddress(): Promise<string> {
  const server = net.createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as net.AddressInfo;
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return `127.0.0.1:${port}`;
}

vitest.describe('fetching from a control group', () => {
  const store = new disposableStore.DisposableStore();
  const dataDir = fs.mkdtempSync(path.join(os.tmpdir(), 'control-'));
  let client: controlClient.ControlClient;

  vitest.beforeAll(async () => {
    const address = await findFreeAddress();
    const clock = new systemClock.SystemClock();
    const identity = { id: 'c1', listen: address, peers: [{ id: 'c1', address }], dataDir };
    const cfg = {
      ...identity,
      operators: [],
      orders: { loadsPerMinute: 30 },
      log: { level: 'info' as const },
      metrics: {},
    };
    const dependencies = {
      clock,
      random: new seededRandom.SeededRandom(1),
      logService: new recordingLog.RecordingLogService(),
      metrics: new recordingMetrics.RecordingMetricsService(),
    };
    store.add(await controlProcess.ControlProcess.start(cfg, dependencies));
    client = store.add(new controlClient.ControlClient({ addresses: [address] }, clock));
    await client.execute({
      apply: { submissionId: 's1', baseVersion: 0, text: sample.SAMPLE_TOML },
    });
  });

  vitest.afterAll(() => {
    store.dispose();
    fs.rmSync(dataDir, { recursive: true });
  });

  vitest.it('fetchStatus returns the leader, the version and the declared pools', async () => {
    const fetchedStatus = await status.fetchStatus(client, NOW);
    vitest.expect(fetchedStatus.control.leader).toBe('c1');
    vitest.expect(fetchedStatus.control.configurationVersion).toBe(1);
    vitest.expect(status.renderStatus(fetchedStatus)).toContain('declaration sample: 1 workspaces');
  });

  vitest.it(
    'fetchReport counts each reported request once and compares it with the declared targets',
    async () => {
      const latency = new Array<number>(latencyBuckets.LATENCY_BUCKET_COUNT).fill(0);
      latency[latencyBuckets.bucketOf(20)] = 9;
      const commonFields = {
        period: PERIOD,
        span: spans.HOUR_MS,
        workspace: 'acme',
        target: 'register',
      };
      const rows = [
        {
          ...commonFields,
          kind: 'lookup',
          outcome: 'in-time',
          count: 9,
          latency,
          costs: [{ stage: 'register', cost: 0.9, attempts: 10 }],
        },
        {
          ...commonFields,
          kind: 'lookup',
          outcome: 'queue-full',
          count: 1,
          latency: [],
          costs: [],
        },
      ];
      const accountingReport = { incarnation: 'e1', sequence: 1, rows };
      await client.execute({ accountingReport });
      // An entry VM resends a report when its answer was lost; the rows count only once.
      await client.execute({ accountingReport });
      const span = spans.parseSpan('2026-12-03')!;
      const fetchedReport = await report.fetchReport(client, span, undefined, NOW);
      vitest.expect(fetchedReport.kinds[0]).toMatchObject({
        kind: 'lookup',
        requests: 10,
        attainment: 0.9,
        attainmentTarget: 0.99,
        costPerRequest: 0.09,
        refused: 1,
      });
      vitest.expect(fetchedReport.steps.filter(({ requests }) => requests > 0)).toHaveLength(1);
      vitest.expect(textReport.renderText(fetchedReport)).toContain('missed: attainment');
      const otherWorkspace = await report.fetchReport(client, span, 'nobody', NOW);
      vitest.expect(otherWorkspace.kinds[0]?.requests).toBe(0);
    },
  );
});
