/**
 * Computes the exact size of a pool with the Erlang C formula for an M/M/s queue: Poisson arrivals, exponential
 * service times and one queue for `s` servers. The offered load is the arrival rate per second times the mean
 * service time in seconds, in erlangs.
 */

/** Smallest pool size that meets a target for the fraction of delayed requests. */
export interface IStaffing {
  /** Number of servers; at least 1 and above the offered load. */
  readonly servers: number;
  /** Fraction of requests that wait longer than allowed with this number of servers, 0 to 1. */
  readonly delayedRatio: number;
}

/** Delay probability (Erlang C) from the blocking probability (Erlang B) of the same number of servers. */
function erlangCFromB(blockingProbability: number, servers: number, offeredLoad: number): number {
  const utilisation = offeredLoad / servers;
  return blockingProbability / (1 - utilisation * (1 - blockingProbability));
}

/**
 * Probability that a request has to wait, 0 to 1. It is 1 if the offered load reaches or exceeds the number of
 * servers, because the queue then grows without bound.
 *
 * @example
 * delayProbability(2, 1); // 1/3
 */
export function delayProbability(servers: number, offeredLoad: number): number {
  if (servers <= offeredLoad) {
    return 1;
  }
  // The recursive form of Erlang B is numerically stable and needs no factorials.
  let blockingProbability = 1;
  for (let count = 1; count <= servers; count += 1) {
    blockingProbability =
      (offeredLoad * blockingProbability) / (count + offeredLoad * blockingProbability);
  }
  return erlangCFromB(blockingProbability, servers, offeredLoad);
}

/**
 * Finds the smallest number of servers with which at most a fraction `maxDelayedRatio` of the requests waits longer
 * than `allowedWait`, a multiple of the mean service time. It takes a single pass of the Erlang B recursion.
 *
 * @example
 * requiredServers(10, 0.1); // { servers: 16, delayedRatio: 0.063… }
 * requiredServers(10, 0.1, 0.5); // fewer servers: requests may wait for half a service time
 */
export function requiredServers(
  offeredLoad: number,
  maxDelayedRatio: number,
  allowedWait = 0,
): IStaffing {
  let blockingProbability = 1;
  for (let servers = 1; ; servers += 1) {
    blockingProbability =
      (offeredLoad * blockingProbability) / (servers + offeredLoad * blockingProbability);
    if (servers > offeredLoad) {
      const spareServers = servers - offeredLoad;
      const delayedRatio =
        erlangCFromB(blockingProbability, servers, offeredLoad) *
        Math.exp(-spareServers * allowedWait);
      if (delayedRatio <= maxDelayedRatio) {
        return { servers, delayedRatio };
      }
    }
  }
}
