import * as emitter from '../../common/Emitter.js';
import type * as commonTypes from '../../common/Types.js';
import type * as controlTypes from '../Types.js';
import type * as logTypes from '../log/Types.js';
import type * as replicaState from './ReplicaState.js';
import * as serialQueue from './SerialQueue.js';

/** Receives each applied entry with the result of the state machine (empty unless the entry is a command). */
export type AppliedListener = (entry: logTypes.IEntry, result: Uint8Array) => void;

const EMPTY_RESULT = new Uint8Array();

/** Applies committed entries to the state machine and takes its snapshots. */
export class Applier implements commonTypes.IDisposable {
  private lastAppliedIndex = 0;

  /**
   * Index whose application makes a snapshot due; undefined when none is due, Infinity while one is being saved.
   */
  private snapshotDueIndex: number | undefined;

  private readonly snapshotQueue = new serialQueue.SerialQueue();

  private readonly appliedEmitter = new emitter.Emitter<number>();

  /** Fires with the index of each applied entry or installed snapshot. */
  readonly onApplied = this.appliedEmitter.event;

  /** Restores the state machine from the newest snapshot in the log store, if there is one. */
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

  /** Index of the last entry applied to the state machine; 0 before the first. */
  get appliedIndex(): number {
    return this.lastAppliedIndex;
  }

  /** Raises the commit index to `index` and applies all entries up to it. */
  commit(index: number): void {
    this.state.commitIndex = Math.max(this.state.commitIndex, index);
    while (this.lastAppliedIndex < this.state.commitIndex) {
      this.applyNext();
    }
    this.startSnapshotIfDue();
  }

  /** Replaces the log and the state with a snapshot of the leader. */
  install(snapshot: logTypes.ISnapshot): Promise<void> {
    return this.snapshotQueue.run(async () => {
      await this.state.store.installSnapshot(snapshot);
      this.state.members.recordSnapshot(snapshot.meta);
      this.state.commitIndex = snapshot.meta.index;
      this.restore(snapshot);
      this.appliedEmitter.fire(this.lastAppliedIndex);
    });
  }

  /** @inheritdoc */
  dispose(): void {
    this.appliedEmitter.dispose();
  }

  private restore(snapshot: logTypes.ISnapshot): void {
    this.stateMachine.restore(snapshot.data);
    this.lastAppliedIndex = snapshot.meta.index;
    this.snapshotDueIndex = undefined;
  }

  private applyNext(): void {
    const entry = this.state.store.entry(this.lastAppliedIndex + 1);
    if (entry === undefined) {
      throw new Error(`committed entry ${this.lastAppliedIndex + 1} is missing from the log`);
    }
    const result =
      entry.kind === 'command' ? this.stateMachine.apply(entry.index, entry.data) : EMPTY_RESULT;
    this.lastAppliedIndex = entry.index;
    this.listener(entry, result);
    this.appliedEmitter.fire(entry.index);
  }

  /**
   * Starts a new log segment once the log exceeds its size limit, and takes a snapshot once every entry of the
   * old segment is applied, so that the snapshot covers that segment completely.
   */
  private startSnapshotIfDue(): void {
    const { store, tuning } = this.state;
    if (this.lastAppliedIndex <= (store.snapshot?.meta.index ?? 0)) {
      this.removeCoveredSegments();
      return;
    }
    if (this.snapshotDueIndex === undefined) {
      const ratioLimitBytes = (store.snapshot?.data.length ?? 0) * tuning.snapshotLogRatio;
      if (store.logBytes <= Math.max(tuning.snapshotMinLogBytes, ratioLimitBytes)) {
        return;
      }
      store.rollSegment();
      this.snapshotDueIndex = store.lastIndex;
    }
    if (this.lastAppliedIndex >= this.snapshotDueIndex) {
      this.takeSnapshot();
    }
  }

  /** Removes what was still being written to the log when the newest snapshot was saved, if that covers it. */
  private removeCoveredSegments(): void {
    const { store } = this.state;
    if (store.hasCoveredSegments && this.snapshotDueIndex !== Infinity) {
      this.snapshotDueIndex = Infinity;
      const removed = this.snapshotQueue.run(() => store.removeCoveredSegments());
      void removed.then(() => this.finishSnapshot()).catch(() => {});
    }
  }

  private takeSnapshot(): void {
    const { store, members } = this.state;
    const meta = {
      index: this.lastAppliedIndex,
      term: store.termAt(this.lastAppliedIndex) as number,
      members: members.at(this.lastAppliedIndex),
    };
    const snapshot = { meta, data: this.stateMachine.snapshot() };
    this.snapshotDueIndex = Infinity;
    const saved = this.snapshotQueue.run(async () => {
      if (meta.index <= (store.snapshot?.meta.index ?? 0)) {
        return;
      }
      await store.saveSnapshot(snapshot);
      members.discardCompacted(meta.index);
    });
    void saved.then(() => this.finishSnapshot()).catch(() => {});
  }

  /** Permits the next snapshot; entries that arrived during the save may already have made it due. */
  private finishSnapshot(): void {
    if (this.snapshotDueIndex === Infinity) {
      this.snapshotDueIndex = undefined;
      this.startSnapshotIfDue();
    }
  }
}
