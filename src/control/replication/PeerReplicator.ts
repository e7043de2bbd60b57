import type * as commonTypes from '../../common/Types.js';
import type * as logTypes from '../log/Types.js';
import type * as replicaState from './ReplicaState.js';
import type * as types from './Types.js';

/** What a leader does with the progress of a peer. */
export interface IPeerReplicatorListener {
  /** Number of the newest read that waits for its confirmation. */
  readonly readNumber: number;
  /** The peer answered in the leader's term. */
  onProgress(): void;
  /** The peer answered in a later term. */
  onLaterTerm(term: number): void;
}

type Outcome = 'more' | 'idle' | 'failed';

interface ITransfer {
  readonly snapshot: logTypes.ISnapshot;
  offset: number;
}

/** The leader's task for one peer: one request at a time, with all that has gathered since the last. */
export class PeerReplicator implements commonTypes.IDisposable {
  /** Highest index that is durable on the peer. */
  matchIndex = 0;

  /** Newest read that the peer confirmed this leader for. */
  confirmedRead = 0;

  /** When the last request was sent that the peer answered, monotonic. */
  lastAnswered: commonTypes.Millis;

  private nextIndex: number;

  private transfer: ITransfer | undefined;

  private refused = false;

  private stopped = false;

  private wanted = false;

  private waker: (() => void) | undefined;

  /** Serves `peer` in the leader's `term`. */
  constructor(
    readonly peer: types.Peer,
    private readonly term: number,
    private readonly state: replicaState.ReplicaState,
    private readonly listener: IPeerReplicatorListener,
  ) {
    this.nextIndex = state.store.lastIndex + 1;
    this.lastAnswered = state.clock.monotonic();
  }

  /** Runs until disposed. */
  async run(): Promise<void> {
    while (!this.stopped) {
      const outcome = await this.exchange();
      if (outcome !== 'more' && !this.stopped) {
        await this.wait(outcome === 'idle');
      }
    }
  }

  /** Sends soon instead of at the next heartbeat. */
  wake(): void {
    this.wanted = true;
    this.waker?.();
  }

  /** @inheritdoc */
  dispose(): void {
    this.stopped = true;
    this.waker?.();
  }

  /** Sends one request and takes its answer. */
  private async exchange(): Promise<Outcome> {
    this.wanted = false;
    const sent = this.state.clock.monotonic();
    const { readNumber } = this.listener;
    const body = this.nextBody();
    const res = await this.send(body);
    if (this.stopped || res === undefined) {
      return 'failed';
    }
    if (res.term > this.term) {
      this.stopped = true;
      this.listener.onLaterTerm(res.term);
      return 'failed';
    }
    if (res.body === undefined) {
      this.noteRefusal(res);
      return 'failed';
    }
    this.lastAnswered = sent;
    this.confirmedRead = readNumber;
    this.takeAnswer(res.body);
    this.listener.onProgress();
    const more = this.wanted || this.nextIndex <= this.state.store.lastIndex;
    return more ? 'more' : 'idle';
  }

  private async send(body: types.PeerRequestBody): Promise<types.IPeerResponse | undefined> {
    try {
      return await this.state.call(this.peer, body, this.term);
    } catch {
      return undefined;
    }
  }

  private nextBody(): types.IAppendRequest | types.ISnapshotRequest {
    const { store, tuning, commitIndex } = this.state;
    const previousIndex = this.nextIndex - 1;
    const previousTerm = store.termAt(previousIndex);
    if (previousTerm === undefined || this.transfer !== undefined) {
      return this.nextPart();
    }
    const entries = store.entriesFrom(this.nextIndex, tuning.maxBatchBytes);
    return { kind: 'append', previousIndex, previousTerm, commitIndex, entries };
  }

  private nextPart(): types.ISnapshotRequest {
    const { store, tuning } = this.state;
    this.transfer ??= { snapshot: store.snapshot as logTypes.ISnapshot, offset: 0 };
    const { snapshot, offset } = this.transfer;
    const end = Math.min(offset + tuning.snapshotChunkBytes, snapshot.data.length);
    const data = snapshot.data.subarray(offset, end);
    const done = end === snapshot.data.length;
    return { kind: 'snapshot', meta: snapshot.meta, offset, data, done };
  }

  private takeAnswer(body: types.PeerResponseBody): void {
    if (body.kind === 'append') {
      this.takeAppend(body);
    } else if (body.kind === 'snapshot' && this.transfer !== undefined) {
      this.takeSnapshot(body, this.transfer);
    }
  }

  private takeAppend(body: types.IAppendResponse): void {
    if (body.success) {
      this.matchIndex = Math.max(this.matchIndex, body.index);
      this.nextIndex = this.matchIndex + 1;
      return;
    }
    const next = Math.min(body.index, this.nextIndex - 1);
    this.nextIndex = Math.max(this.matchIndex + 1, next, 1);
  }

  private takeSnapshot(body: types.ISnapshotResponse, transfer: ITransfer): void {
    if (!body.installed) {
      this.transfer = { snapshot: transfer.snapshot, offset: body.offset };
      return;
    }
    this.transfer = undefined;
    this.matchIndex = Math.max(this.matchIndex, transfer.snapshot.meta.index);
    this.nextIndex = this.matchIndex + 1;
  }

  private noteRefusal(res: types.IPeerResponse): void {
    if (!this.refused) {
      this.refused = true;
      const { id, incarnation } = this.peer;
      const found = res.incarnation;
      this.state.logService.warn('peer-refused', { peer: id, recorded: incarnation, found });
    }
  }

  /** Waits for a heartbeat's time, or less when work arrives and the peer answers. */
  private async wait(wakeable: boolean): Promise<void> {
    if (wakeable && this.wanted) {
      return;
    }
    await new Promise<void>((resolve) => {
      const timer = this.state.clock.setTimer(this.state.tuning.heartbeatMs, resolve);
      this.waker = () => {
        if (wakeable || this.stopped) {
          timer.dispose();
          resolve();
        }
      };
    });
    this.waker = undefined;
  }
}
