/** CPU of choosing and admitting, over the number of declared endpoints. */
import * as recordingLog from '../../src/common/testing/RecordingLogService.js';
import * as recordingMetrics from '../../src/common/testing/RecordingMetricsService.js';
import * as seededRandom from '../../src/common/SeededRandom.js';
import * as virtualClock from '../../src/common/testing/VirtualClock.js';
import * as decisions from '../../src/entry/Decisions.js';
import * as fakeFleet from '../../src/entry/testing/FakeFleet.js';
import * as fixtures from '../../src/entry/testing/Fixtures.js';
import * as latencyTable from '../../src/entry/stage/LatencyTable.js';
import * as stageTimes from '../../src/entry/stage/StageTimes.js';
import * as decisionOptions from '../../src/entry/DecisionOptions.js';
import * as results from '../results.js';
import type * as benchTypes from '../Types.js';

const SIZES = [10, 100, 1_000, 10_000];
const ROUNDS = 20_000;
const SEED = 3;

async function measureSize(size: number): Promise<number> {
  const clock = new virtualClock.VirtualClock();
  const pool = fixtures.makePool(size);
  const built = decisions.createDecisions(
    { id: 'entry-1', zone: 'a' },
    {},
    {
      clock,
      random: new seededRandom.SeededRandom(SEED),
      log: new recordingLog.RecordingLogService(),
      metrics: new recordingMetrics.RecordingMetricsService(),
      endpointClient: new fakeFleet.FakeFleet(clock, { slots: 1, callMs: () => 1 }),
      quarantine: {
        isQuarantined: () => false,
        isSuspect: () => false,
        reportCrash: () => Promise.resolve(),
      },
    },
  );
  built.updateConfiguration(fixtures.makeConfiguration([pool]));
  const options = decisionOptions.decisionOptions();
  const latencies = new latencyTable.LatencyTable(options.deadline, clock);
  const times = new stageTimes.StageTimes(options, clock, latencies);
  const { ctx } = fixtures.makeRequest(clock, { id: 'r' });
  const call = fixtures.makeCall(pool, 'r', { prefix: 'p' });
  const round = async (): Promise<void> => {
    const plan = times.plan(call, ctx);
    const permit = await built.admission.admit(pool, ctx, plan.work);
    const choice = built.picker.pick(pool, ctx, { tried: [], key: plan.key, prefix: 'p' });
    const load = { running: 2, waiting: 1, cacheUsed: 0, age: 100 };
    choice?.settle({ ok: true, latency: 10, load });
    times.recordAttempt(plan.key, 10);
    permit.release('ok', 10);
  };
  for (let index = 0; index < ROUNDS / 4; index++) {
    await round();
  }
  const before = process.cpuUsage();
  for (let index = 0; index < ROUNDS; index++) {
    await round();
  }
  const used = process.cpuUsage(before);
  built.dispose();
  return (used.user + used.system) / ROUNDS;
}

/** Microseconds of CPU per decision at each size; the largest is bounded. */
export async function measure(): Promise<readonly benchTypes.IBenchResult[]> {
  const figures: number[] = [];
  for (const size of SIZES) {
    figures.push(await measureSize(size));
  }
  const infos = SIZES.map((size, index) =>
    results.info(`decisions/choose-admit-${size}`, figures[index] ?? NaN, 'µs'),
  );
  const largest = figures.at(-1) ?? NaN;
  return [
    ...infos,
    results.bounded('decisions/choose-admit-cpu', largest, 'plan, admit, choose, settle'),
  ];
}
