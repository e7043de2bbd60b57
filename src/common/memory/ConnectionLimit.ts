import type * as commonTypes from '../Types.js';

/** An unfinished request of this age, or an unused connection, may give way to a new connection. */
const MIN_AGE_MS = 500;
/** Above this part of all connections, an address gives way before others. */
const ADDRESS_RATIO = 0.5;

/** State of one open connection. */
export interface IConnectionView {
  readonly address: string;
  /** Whether a request has arrived in part only. */
  readonly isUnfinished: boolean;
  /** Whether a request is being answered. */
  readonly isAnswering: boolean;
  /** Whether a request was read completely before. */
  readonly isUsed: boolean;
  /** Time since which the connection is in this state. */
  readonly since: commonTypes.Millis;
}

/**
 * Chooses the connection that gives way to a new one when all are taken; undefined if the new one has to. Unfinished
 * requests go first, then connections never used, then idle ones; the oldest first. While one address has more than
 * half of all connections, only its own give way. Connections with a request in progress stay.
 *
 * @example
 * const victim = chooseVictim([...connections.values()], clock.monotonic());
 * victim?.socket.destroy();
 */
export function chooseVictim<T extends IConnectionView>(
  connections: readonly T[],
  now: commonTypes.Millis,
): T | undefined {
  const dominant = dominantAddress(connections);
  return connections
    .filter(({ address }) => dominant === undefined || address === dominant)
    .filter(({ isAnswering, since }) => !isAnswering && now - since >= MIN_AGE_MS)
    .reduce<T | undefined>((first, other) => {
      const isBefore = first === undefined || compare(other, first) < 0;
      return isBefore ? other : first;
    }, undefined);
}

function rank({ isUnfinished, isUsed }: IConnectionView): number {
  if (isUnfinished) {
    return 0;
  }
  return isUsed ? 2 : 1;
}

function compare(a: IConnectionView, b: IConnectionView): number {
  return rank(a) - rank(b) || a.since - b.since;
}

function dominantAddress(connections: readonly IConnectionView[]): string | undefined {
  const counts = new Map<string, number>();
  connections.forEach(({ address }) => counts.set(address, (counts.get(address) ?? 0) + 1));
  const most = [...counts].find(([, count]) => count > connections.length * ADDRESS_RATIO);
  return most?.[0];
}
