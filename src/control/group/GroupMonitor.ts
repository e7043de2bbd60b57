import type * as commonServices from '../../common/services/Services.js';
import type * as commonTypes from '../../common/Types.js';
import type * as controlTypes from '../Types.js';

const CHECK_INTERVAL_MS = 500;
/** Longer than an election, so that an ordinary change of leader is not reported. */
const REPORT_AFTER_MS = 1500;
const REPORT_INTERVAL_MS = 5000;

/** Dependencies of a group monitor. */
export interface IGroupMonitorServices {
  readonly log: Pick<controlTypes.IReplicatedLog, 'status'>;
  readonly clock: commonTypes.IClock;
  readonly logService: commonServices.ILogService;
  readonly metrics: commonServices.IMetricsService;
}

/** Why a control VM has no leader: it belongs to no group, is not a voter yet, or reaches no quorum. */
type UnavailableReason = 'no-group' | 'not-a-voter' | 'no-quorum';

/** Reports a control VM that has no leader, with the reason and the inputs of that reason. */
export class GroupMonitor implements commonTypes.IDisposable {
  private readonly stop = new AbortController();

  private leaderSeenAt: commonTypes.Millis;

  private reportedAt = -Infinity;

  /** Checks the replica periodically until disposed. */
  constructor(private readonly services: IGroupMonitorServices) {
    this.leaderSeenAt = services.clock.monotonic();
    void this.run();
  }

  /** @inheritdoc */
  dispose(): void {
    this.stop.abort(new Error('group monitor disposed'));
  }

  private async run(): Promise<void> {
    const { clock } = this.services;
    const { signal } = this.stop;
    while (!signal.aborted) {
      this.check();
      await clock.sleep(CHECK_INTERVAL_MS, signal).catch(() => {});
    }
  }

  private check(): void {
    const { log, clock, logService, metrics } = this.services;
    const status = log.status();
    const now = clock.monotonic();
    metrics.gauge('group_members', status.members.length);
    metrics.gauge('group_has_leader', status.hasLeader ? 1 : 0);
    if (status.hasLeader) {
      if (this.reportedAt > this.leaderSeenAt) {
        const waited = Math.round(now - this.leaderSeenAt);
        logService.info('group-available', { waited, term: status.term });
      }
      this.leaderSeenAt = now;
      return;
    }
    const waited = Math.round(now - this.leaderSeenAt);
    if (waited >= REPORT_AFTER_MS && now - this.reportedAt >= REPORT_INTERVAL_MS) {
      const reason = unavailableReason(status);
      this.reportedAt = now;
      metrics.count('group_unavailable', { reason });
      logService.warn('group-unavailable', {
        reason,
        waited,
        role: status.role,
        term: status.term,
        applied: status.appliedIndex,
        members: status.members.map(({ id }) => id).join(','),
      });
    }
  }
}

function unavailableReason(status: controlTypes.IReplicaStatus): UnavailableReason {
  if (status.members.length === 0) {
    return 'no-group';
  }
  return status.isVoter ? 'no-quorum' : 'not-a-voter';
}
