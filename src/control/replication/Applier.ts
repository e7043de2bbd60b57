import * as emitter from '../../common/Emitter.js';
import type * as commonTypes from '../../common/Types.js';
import type * as controlTypes from '../Types.js';
import type * as logTypes from '../log/Types.js';
import type * as replicaState from './ReplicaState.js';
import * as serialQueue from './SerialQueue.js';

/** Takes the result of an applied entry. */
export type AppliedListener = (entry: logTypes.IEntry, result: Uint8Array) => void;

const NOTHING = new Uint8Array();

/** Applies committed entries to the state machine and keeps its snapshots. */
export class Applier implements commonTypes.IDisposable {
  private index = 0;

  /** A snapshot is due once everything up to here is applied. */
  private snapshotDue: number | undefined;

  private readonly snapshots = new serialQueue.SerialQueue();

  private readonly applied = new emitter.Emitter<number>();

  /** Fires after each applied index. */
  readonly onApplied = this.applied.event;

  /** Restores the state machine from the newest snapshot. */
  constructor(
    private readonly state: replicaState.ReplicaState,
    private readonly stateMachine: controlTypes.IStateMachine,
    private readonly listener: AppliedListener,
  ) {
    const { snapshot } = state.store;
    if (snapshot !== undefined) {
      this.restore(snapshot);
    }
  }

  /** Last applied index. */
  get appliedIndex(): number {
    return this.index;
  }

  /** Raises the commit index and applies up to it. */
  commit(index: number): void {
    this.state.commitIndex = Math.max(this.state.commitIndex, index);
    while (this.index < this.state.commitIndex) {
      this.applyNext();
    }
    this.startSnapshot();
  }

  /** Replaces log and state by a snapshot of the leader. */
  install(snapshot: logTypes.ISnapshot): Promise<void> {
    return this.snapshots.run(async () => {
      await this.state.store.installSnapshot(snapshot);
      this.state.members.noteSnapshot(snapshot.meta);
      this.state.commitIndex = snapshot.meta.index;
      this.restore(snapshot);
      this.applied.fire(this.index);
    });
  }

  /** The state at the last applied index. */
  encodeState(): Uint8Array {
    return this.stateMachine.snapshot();
  }

  /** @inheritdoc */
  dispose(): void {
    this.applied.dispose();
  }

  private restore(snapshot: logTypes.ISnapshot): void {
    this.stateMachine.restore(snapshot.data);
    this.index = snapshot.meta.index;
    this.snapshotDue = undefined;
  }

  private applyNext(): void {
    const entry = this.state.store.entry(this.index + 1);
    if (entry === undefined) {
      throw new Error(`committed entry ${this.index + 1} is not held`);
    }
    const result =
      entry.kind === 'command' ? this.stateMachine.apply(entry.index, entry.data) : NOTHING;
    this.index = entry.index;
    this.listener(entry, result);
    this.applied.fire(entry.index);
  }

  /**
   * Starts a new segment when the log has grown, and takes the snapshot when all of the old one
   * is applied, so that the snapshot covers it whole.
   */
  private startSnapshot(): void {
    const { store, tuning } = this.state;
    if (this.index <= (store.snapshot?.meta.index ?? 0)) {
      return;
    }
    if (this.snapshotDue === undefined) {
      const share = (store.snapshot?.data.length ?? 0) * tuning.snapshotLogRatio;
      if (store.logBytes <= Math.max(tuning.snapshotMinLogBytes, share)) {
        return;
      }
      store.rollSegment();
      this.snapshotDue = store.lastIndex;
    }
    if (this.index >= this.snapshotDue) {
      this.takeSnapshot();
    }
  }

  private takeSnapshot(): void {
    const { store, members } = this.state;
    const meta = {
      index: this.index,
      term: store.termAt(this.index) as number,
      members: members.at(this.index),
    };
    const snapshot = { meta, data: this.stateMachine.snapshot() };
    this.snapshotDue = Infinity;
    const saved = this.snapshots.run(async () => {
      if (meta.index <= (store.snapshot?.meta.index ?? 0)) {
        return;
      }
      await store.saveSnapshot(snapshot);
      members.noteCompaction(meta.index);
    });
    void saved.then(() => this.allowSnapshot()).catch(() => {});
  }

  /** Allows the next snapshot, which the entries that came meanwhile may have made due. */
  private allowSnapshot(): void {
    if (this.snapshotDue === Infinity) {
      this.snapshotDue = undefined;
      this.startSnapshot();
    }
  }
}
