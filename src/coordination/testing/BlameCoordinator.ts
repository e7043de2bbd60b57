import type * as blame from '../../blame/Types.js';
import * as blameFixture from '../../blame/testing/Blame.js';
import * as recordingLog from '../../common/testing/RecordingLogService.js';
import * as recordingMetrics from '../../common/testing/RecordingMetricsService.js';
import type * as commonTypes from '../../common/Types.js';
import * as unlimitedRateLimiter from '../../ratelimit/testing/UnlimitedRateLimiter.js';
import * as endpointDirectory from '../../routing/EndpointDirectory.js';
import type * as routing from '../../routing/Types.js';
import * as blameExchange from '../BlameExchange.js';
import * as coordinators from '../Coordinator.js';
import type * as blameVm from './BlameVm.js';

/** A control VM that coordinates, with its part of the feed. */
export class BlameCoordinator {
  /** Connected VMs. */
  readonly vms = new Set<blameVm.BlameVm>();

  readonly exchange: blameExchange.BlameExchange;

  readonly planner: coordinators.Coordinator;

  /** Starts without knowledge of any crash. */
  constructor(
    clock: commonTypes.IClock,
    endpoints: readonly routing.IEndpoint[],
    crashConfirmer: blame.ICrashConfirmer,
  ) {
    const blameTable = blameFixture.makeTable(clock);
    const directory = new endpointDirectory.EndpointDirectory();
    this.exchange = new blameExchange.BlameExchange(blameTable, clock, (message) =>
      this.vms.forEach((vm) => vm.receive(message)),
    );
    this.planner = new coordinators.Coordinator({
      clock,
      caller: { run: async () => [], free: async () => true },
      directory,
      blameTable,
      crashConfirmer,
      admitsTrials: true,
      rateLimiter: new unlimitedRateLimiter.UnlimitedRateLimiter(),
      logService: new recordingLog.RecordingLogService(),
      metrics: new recordingMetrics.RecordingMetricsService(),
    });
    const services = new Map([
      ['s', { name: 's', maxConnections: 64, engine: { slots: 32, cacheTokens: 100_000 } }],
    ]);
    const limits = { headerBytes: 1, bodyBytes: 1, headerTimeout: 1, idleTimeout: 1 };
    this.planner.configure({ version: 1, routes: [], services, limits });
    directory.replace({ revision: 1, endpoints });
  }
}
