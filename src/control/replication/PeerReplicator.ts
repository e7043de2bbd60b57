import type * as commonTypes from '../../common/Types.js';
import type * as logTypes from '../log/Types.js';
import type * as replicaState from './ReplicaState.js';
import type * as types from './Types.js';

/** Callbacks from a replicator to its leadership. */
export interface IPeerReplicatorListener {
  /** Sequence number of the newest read that was requested; a response confirms all reads up to it. */
  readonly newestReadNumber: number;
  /** The peer responded in the leader's term. */
  onProgress(): void;
  /** The peer responded with a later term; the replicator has stopped. */
  onLaterTerm(term: number): void;
}

type ExchangeOutcome = 'more' | 'idle' | 'failed';

interface ISnapshotTransfer {
  readonly snapshot: logTypes.ISnapshot;
  offset: number;
}

/**
 * Replicates the log of the leader to one peer, with at most one request in flight. Each request carries the
 * entries appended since the last one.
 */
export class PeerReplicator implements commonTypes.IDisposable {
  /** Highest log index known to be durable on the peer. */
  matchIndex = 0;

  /** Sequence number of the newest read for which the peer has confirmed this leader. */
  confirmedReadNumber = 0;

  /** Send time of the last request that the peer answered (monotonic). */
  lastAnsweredSentAt: commonTypes.Millis;

  private nextIndex: number;

  private snapshotTransfer: ISnapshotTransfer | undefined;

  private isRefusalLogged = false;

  private isStopped = false;

  private isSendRequested = false;

  private wakeWaiter: (() => void) | undefined;

  /** Replicates to `peer` on behalf of the leader of `term`. */
  constructor(
    readonly peer: types.Peer,
    private readonly term: number,
    private readonly state: replicaState.ReplicaState,
    private readonly listener: IPeerReplicatorListener,
  ) {
    this.nextIndex = state.store.lastIndex + 1;
    this.lastAnsweredSentAt = state.clock.monotonic();
  }

  /** Sends requests until disposed or until the peer responds with a later term. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      const outcome = await this.exchange();
      if (outcome !== 'more' && !this.isStopped) {
        await this.waitForNextSend(outcome === 'idle');
      }
    }
  }

  /** Sends the next request immediately instead of at the next heartbeat, unless the last request failed. */
  wake(): void {
    this.isSendRequested = true;
    this.wakeWaiter?.();
  }

  /** @inheritdoc */
  dispose(): void {
    this.isStopped = true;
    this.wakeWaiter?.();
  }

  /** Sends one request and handles its response. */
  private async exchange(): Promise<ExchangeOutcome> {
    this.isSendRequested = false;
    const sentAt = this.state.clock.monotonic();
    const { newestReadNumber } = this.listener;
    const body = this.buildRequest();
    const res = await this.send(body);
    if (this.isStopped || res === undefined) {
      return 'failed';
    }
    if (res.term > this.term) {
      this.isStopped = true;
      this.listener.onLaterTerm(res.term);
      return 'failed';
    }
    if (res.body === undefined) {
      this.logRefusal(res);
      return 'failed';
    }
    this.lastAnsweredSentAt = sentAt;
    this.confirmedReadNumber = newestReadNumber;
    this.handleResponse(res.body);
    this.listener.onProgress();
    const hasMore = this.isSendRequested || this.nextIndex <= this.state.store.lastIndex;
    return hasMore ? 'more' : 'idle';
  }

  private async send(body: types.PeerRequestBody): Promise<types.IPeerResponse | undefined> {
    try {
      return await this.state.call(this.peer, body, this.term);
    } catch {
      return undefined;
    }
  }

  private buildRequest(): types.IAppendRequest | types.ISnapshotRequest {
    const { store, tuning, commitIndex } = this.state;
    const previousIndex = this.nextIndex - 1;
    const previousTerm = store.termAt(previousIndex);
    if (previousTerm === undefined || this.snapshotTransfer !== undefined) {
      return this.buildSnapshotRequest();
    }
    const entries = store.entriesFrom(this.nextIndex, tuning.maxBatchBytes);
    return { kind: 'append', previousIndex, previousTerm, commitIndex, entries };
  }

  private buildSnapshotRequest(): types.ISnapshotRequest {
    const { store, tuning } = this.state;
    this.snapshotTransfer ??= { snapshot: store.snapshot as logTypes.ISnapshot, offset: 0 };
    const { snapshot, offset } = this.snapshotTransfer;
    const end = Math.min(offset + tuning.snapshotChunkBytes, snapshot.data.length);
    const data = snapshot.data.subarray(offset, end);
    const done = end === snapshot.data.length;
    return { kind: 'snapshot', meta: snapshot.meta, offset, data, done };
  }

  private handleResponse(body: types.PeerResponseBody): void {
    if (body.kind === 'append') {
      this.handleAppendResponse(body);
    } else if (body.kind === 'snapshot' && this.snapshotTransfer !== undefined) {
      this.handleSnapshotResponse(body, this.snapshotTransfer);
    }
  }

  private handleAppendResponse(body: types.IAppendResponse): void {
    if (body.success) {
      this.matchIndex = Math.max(this.matchIndex, body.index);
      this.nextIndex = this.matchIndex + 1;
      return;
    }
    const retryIndex = Math.min(body.index, this.nextIndex - 1);
    this.nextIndex = Math.max(this.matchIndex + 1, retryIndex, 1);
  }

  private handleSnapshotResponse(body: types.ISnapshotResponse, transfer: ISnapshotTransfer): void {
    if (!body.installed) {
      this.snapshotTransfer = { snapshot: transfer.snapshot, offset: body.offset };
      return;
    }
    this.snapshotTransfer = undefined;
    this.matchIndex = Math.max(this.matchIndex, transfer.snapshot.meta.index);
    this.nextIndex = this.matchIndex + 1;
  }

  private logRefusal(res: types.IPeerResponse): void {
    if (!this.isRefusalLogged) {
      this.isRefusalLogged = true;
      const { id, incarnation } = this.peer;
      const found = res.incarnation;
      this.state.logService.warn('peer-refused', { peer: id, recorded: incarnation, found });
    }
  }

  /**
   * Waits for the heartbeat interval. `wake` ends the wait early only with `canWake`, so that failing requests
   * are not retried faster.
   */
  private async waitForNextSend(canWake: boolean): Promise<void> {
    if (canWake && this.isSendRequested) {
      return;
    }
    await new Promise<void>((resolve) => {
      const timer = this.state.clock.setTimer(this.state.tuning.heartbeatMs, resolve);
      this.wakeWaiter = () => {
        if (canWake || this.isStopped) {
          timer.dispose();
          resolve();
        }
      };
    });
    this.wakeWaiter = undefined;
  }
}
