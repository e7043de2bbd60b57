/** Components that tests use where crashes of endpoints play no part, or only the ones that a test names. */
import * as recordingLog from '../../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../../common/testing/RecordingMetricsService.js';
import type * as commonTypes from '../../common/Types.js';
import * as blameTable from '../BlameTable.js';
import * as fakeCrashConfirmer from './FakeCrashConfirmer.js';

/** The dependencies of a coordinator that concern crashes. */
export interface IBlameFixture {
  readonly blameTable: blameTable.BlameTable;
  readonly crashConfirmer: fakeCrashConfirmer.FakeCrashConfirmer;
  readonly admitsTrials: boolean;
}

/** Makes an empty table whose log and metrics are not kept. */
export function makeTable(clock: commonTypes.IClock): blameTable.BlameTable {
  const logService = new recordingLog.RecordingLogService();
  const metrics = new recordingMetrics.RecordingMetricsService();
  return new blameTable.BlameTable({ clock, logService, metrics });
}

/** Makes an empty table, and a confirmer for which no endpoint has crashed. */
export function makeBlame(clock: commonTypes.IClock): IBlameFixture {
  return {
    blameTable: makeTable(clock),
    crashConfirmer: new fakeCrashConfirmer.FakeCrashConfirmer(),
    admitsTrials: true,
  };
}
