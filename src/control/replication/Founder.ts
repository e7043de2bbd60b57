/** Founding of a new group by the replicas that the settings name. */
import type * as controlTypes from '../Types.js';
import type * as replicaState from './ReplicaState.js';
import type * as types from './Types.js';

const FOUNDING_INDEX = 1;
const FOUNDING_TERM = 1;

/**
 * Waits until the group can be founded and resolves with its first members. Only the founding member with the
 * lowest id founds the group, and only while its data folder is blank. It waits for every founding member to
 * respond that its folder is blank too, so that all incarnations are recorded before any vote or entry is
 * acknowledged. Resolves with undefined when this replica is not the one that founds the group, when its folder
 * is no longer blank, or when `signal` aborts.
 */
export async function waitForFoundingMembers(
  state: replicaState.ReplicaState,
  founding: readonly types.IFoundingMember[],
  signal: AbortSignal,
): Promise<readonly controlTypes.IMember[] | undefined> {
  const ids = founding.map((member) => member.id).sort();
  if (!state.isBlank || ids[0] !== state.self.id) {
    return undefined;
  }
  let isWarningLogged = false;
  while (!signal.aborted && state.isBlank) {
    const members = await Promise.all(founding.map((member) => fetchBlankMember(state, member)));
    if (members.every((member) => member !== undefined)) {
      return members;
    }
    if (!isWarningLogged && members.some((member) => member === undefined)) {
      state.logService.warn('founding-members-missing', { missing: missingIds(founding, members) });
      isWarningLogged = true;
    }
    await state.clock.sleep(state.tuning.electionTimeoutMs, signal).catch(() => {});
  }
  return undefined;
}

/** Builds the metadata (index, term, members) of the snapshot that a new group starts from. */
export function foundingSnapshotMeta(members: readonly controlTypes.IMember[]) {
  return { index: FOUNDING_INDEX, term: FOUNDING_TERM, members };
}

/**
 * Returns a founding member as a voter with its incarnation; undefined when it does not respond or is not blank.
 */
async function fetchBlankMember(
  state: replicaState.ReplicaState,
  member: types.IFoundingMember,
): Promise<controlTypes.IMember | undefined> {
  if (member.id === state.self.id) {
    return { ...member, voter: true, incarnation: state.self.incarnation };
  }
  const peer = { ...member, voter: true, incarnation: '' };
  try {
    const res = await state.call(peer, { kind: 'hello' });
    const blank = res.body?.kind === 'hello' && res.body.blank;
    return blank ? { ...peer, incarnation: res.incarnation } : undefined;
  } catch {
    return undefined;
  }
}

function missingIds(
  founding: readonly types.IFoundingMember[],
  members: readonly (controlTypes.IMember | undefined)[],
): string {
  return founding
    .filter((member, position) => members[position] === undefined)
    .map((member) => member.id)
    .join(',');
}
