import type * as controlTypes from '../Types.js';
import * as codec from '../log/Codec.js';
import type * as logStore from '../log/LogStore.js';
import type * as logTypes from '../log/Types.js';

interface IMemberList {
  readonly index: number;
  readonly members: readonly controlTypes.IMember[];
}

/**
 * Members of the group according to the log. The newest membership entry is in force even before it is
 * committed.
 */
export class Membership {
  private memberLists: IMemberList[] = [];

  /** Reads the members from the newest snapshot of `store` and the entries after it. */
  constructor(store: logStore.LogStore) {
    if (store.snapshot !== undefined) {
      this.recordSnapshot(store.snapshot.meta);
    }
    this.recordAppend(store.entriesFrom(this.index + 1, Infinity));
  }

  /** Members in force, learners included; empty for a replica that has not joined a group. */
  get current(): readonly controlTypes.IMember[] {
    return this.memberLists.at(-1)?.members ?? [];
  }

  /** Index of the entry or snapshot that set the members in force; 0 when there is none. */
  get index(): number {
    return this.memberLists.at(-1)?.index ?? 0;
  }

  /** Members with a vote. */
  get voters(): readonly controlTypes.IMember[] {
    return this.current.filter((member) => member.voter);
  }

  /** Returns the member with this id; undefined when there is none. */
  find(id: string): controlTypes.IMember | undefined {
    return this.current.find((member) => member.id === id);
  }

  /** Whether the given ids include a majority of the voters. */
  isQuorum(ids: ReadonlySet<string>): boolean {
    const { voters } = this;
    const granted = voters.filter((voter) => ids.has(voter.id)).length;
    return granted * 2 > voters.length;
  }

  /** Returns the members that were in force at a log index. */
  at(index: number): readonly controlTypes.IMember[] {
    return this.memberLists.findLast((list) => list.index <= index)?.members ?? [];
  }

  /** Updates the members after an append, which replaces the log from the first appended index on. */
  recordAppend(entries: readonly logTypes.IEntry[]): void {
    const first = entries[0];
    if (first === undefined) {
      return;
    }
    this.memberLists = this.memberLists.filter((list) => list.index < first.index);
    entries
      .filter((entry) => entry.kind === 'members')
      .forEach((entry) => {
        const members = codec.decodeMembers(entry.data);
        this.memberLists.push({ index: entry.index, members });
      });
  }

  /** Sets the members to those of a snapshot that replaces the whole log. */
  recordSnapshot(meta: logTypes.ISnapshotMeta): void {
    this.memberLists = [{ index: meta.index, members: meta.members }];
  }

  /** Drops the member lists that a snapshot up to `index` covers, except the newest of them. */
  discardCompacted(index: number): void {
    const newest = this.memberLists.findLast((list) => list.index <= index);
    this.memberLists = this.memberLists.filter((list) => list === newest || list.index > index);
  }
}
