/** The policies under comparison. */
import * as seededRandom from '../../src/common/SeededRandom.js';
import * as recordingLog from '../../src/common/testing/RecordingLogService.js';
import * as recordingMetrics from '../../src/common/testing/RecordingMetricsService.js';
import * as decisionOptions from '../../src/entry/DecisionOptions.js';
import * as decisions from '../../src/entry/Decisions.js';
import * as fixtures from '../../src/entry/testing/Fixtures.js';
import * as naivePolicy from './NaivePolicy.js';
import type * as simulation from './Simulation.js';
import type * as types from './Types.js';

const ZONES = ['a', 'b'];

/** Round robin, fixed timeout a stage, three retries, first come first served. */
export function makeNaive(): simulation.MakePolicy {
  return (entry, client, clock) => new naivePolicy.NaivePolicy(client, clock);
}

/** Our decisions, with pieces changed by `overrides`. */
export function makeOurs(
  deployment: types.IDeploymentModel,
  seed: number,
  overrides: decisionOptions.DecisionOverrides = {},
): simulation.MakePolicy {
  return (entry, client, clock) => {
    const built = decisions.createDecisions(
      { id: `entry-${entry}`, zone: ZONES[entry % ZONES.length] as string },
      overrides,
      {
        clock,
        random: new seededRandom.SeededRandom(seed + entry),
        log: new recordingLog.RecordingLogService(),
        metrics: new recordingMetrics.RecordingMetricsService(),
        endpointClient: client,
        quarantine: {
          isQuarantined: () => false,
          isSuspect: () => false,
          reportCrash: () => Promise.resolve(),
        },
      },
    );
    built.updateConfiguration(fixtures.makeConfiguration(deployment.pools));
    const { maxWaiting } = decisionOptions.decisionOptions(overrides).limits;
    return {
      runner: built.stageRunner,
      // Interactive and patient waiters are bounded apart.
      queues: () =>
        built.admission.poolNames().map((pool) => ({
          pool,
          waiting: built.admission.findPool(pool)?.waiting ?? 0,
          bound: 2 * maxWaiting,
        })),
      dispose: () => built.dispose(),
    };
  };
}
