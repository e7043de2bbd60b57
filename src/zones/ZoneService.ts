import type * as commonServices from '../common/services/Services.js';
import * as knownLeader from '../control/KnownLeader.js';
import * as notLeader from '../control/replication/NotLeaderError.js';
import type * as controlTypes from '../control/Types.js';
import type * as types from './Types.js';
import * as zoneRecord from './ZoneRecord.js';
import type * as zoneState from './ZoneState.js';

/** Answer to an order. */
export type OrderAnswer =
  /** A quorum stores the order, or it changes nothing; it is in force unless a later order replaced it. */
  | { readonly kind: 'acknowledged' }
  /** Another replica leads and must handle the order; `leaderId` is undefined while no leader is known. */
  | { readonly kind: 'elsewhere'; readonly leaderId: string | undefined }
  /** There is no confirmed outcome; the order may or may not come into force. */
  | { readonly kind: 'unknown'; readonly reason: string };

/**
 * Submits orders on zones through the replicated log, also those that change nothing: only the log knows whether an
 * earlier order is still in force. An order is acknowledged once a quorum holds it on disk.
 */
export class ZoneService {
  /** Submits to `log`, whose state machine holds `state`. */
  constructor(
    private readonly log: controlTypes.IReplicatedLog,
    private readonly state: zoneState.ZoneState,
    private readonly logService: commonServices.ILogService,
  ) {}

  /**
   * Submits an order on a zone whose name has been checked; does not reject.
   *
   * @example
   * const { kind } = await service.submit({ zone: 'north-a', isClosed: true });
   */
  async submit(order: types.IZoneOrder): Promise<OrderAnswer> {
    const answer = await this.propose(order);
    if (answer.kind !== 'elsewhere') {
      this.logService.info('zone-order', {
        zone: order.zone,
        closed: order.isClosed,
        outcome: answer.kind,
        revision: this.state.current.revision,
        reason: 'reason' in answer ? answer.reason : undefined,
      });
    }
    return answer;
  }

  private async propose(order: types.IZoneOrder): Promise<OrderAnswer> {
    try {
      await this.log.propose(zoneRecord.encode(order));
      return { kind: 'acknowledged' };
    } catch (err) {
      if (err instanceof notLeader.NotLeaderError) {
        return { kind: 'elsewhere', leaderId: knownLeader.otherLeaderId(this.log.status()) };
      }
      return { kind: 'unknown', reason: (err as Error).message };
    }
  }
}
