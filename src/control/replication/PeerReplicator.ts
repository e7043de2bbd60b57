import type * as commonTypes from '../../common/Types.js';
import type * as logTypes from '../log/Types.js';
import type * as replicaState from './ReplicaState.js';
import type * as types from './Types.js';

/** What a leader does with the progress of a peer. */
export interface IPeerReplicatorListener {
  /** Number of the newest read that waits for its confirmation. */
  readonly newestReadNumber: number;
  /** The peer answered in the leader's term. */
  onProgress(): void;
  /** The peer answered in a later term. */
  onLaterTerm(term: number): void;
}

type ExchangeOutcome = 'more' | 'idle' | 'failed';

interface ISnapshotTransfer {
  readonly snapshot: logTypes.ISnapshot;
  offset: number;
}

/** The leader's task for one peer: one request at a time, with all that has gathered since the last. */
export class PeerReplicator implements commonTypes.IDisposable {
  /** Highest index that is durable on the peer. */
  matchIndex = 0;

  /** Newest read that the peer confirmed this leader for. */
  confirmedReadNumber = 0;

  /** When the last request was sent that the peer answered, monotonic. */
  lastAnsweredSentAt: commonTypes.Millis;

  private nextIndex: number;

  private snapshotTransfer: ISnapshotTransfer | undefined;

  private isRefusalLogged = false;

  private isStopped = false;

  private isSendRequested = false;

  private wakeWaiter: (() => void) | undefined;

  /** Serves `peer` in the leader's `term`. */
  constructor(
    readonly peer: types.Peer,
    private readonly term: number,
    private readonly state: replicaState.ReplicaState,
    private readonly listener: IPeerReplicatorListener,
  ) {
    this.nextIndex = state.store.lastIndex + 1;
    this.lastAnsweredSentAt = state.clock.monotonic();
  }

  /** Runs until disposed. */
  async run(): Promise<void> {
    while (!this.isStopped) {
      const outcome = await this.exchange();
      if (outcome !== 'more' && !this.isStopped) {
        await this.waitForNextSend(outcome === 'idle');
      }
    }
  }

  /** Sends soon instead of at the next heartbeat. */
  wake(): void {
    this.isSendRequested = true;
    this.wakeWaiter?.();
  }

  /** @inheritdoc */
  dispose(): void {
    this.isStopped = true;
    this.wakeWaiter?.();
  }

  /** Sends one request and takes its answer. */
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

  /** Waits for a heartbeat's time, or less when work arrives and the peer answers. */
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
