/**
 * Exact sizes of a pool by the Erlang C formula (M/M/s queue): Poisson arrivals, exponential service times,
 * one queue before `s` servers. The offered load is arrivals a second times mean service seconds.
 */

/** Smallest pool whose share of delayed requests stays within a target. */
export interface IStaffing {
  readonly servers: number;
  /** Share of requests that wait longer than allowed with so many servers, 0 to 1. */
  readonly delayedRatio: number;
}

/** Erlang C from Erlang B of the same size. */
function fromErlangB(blocked: number, servers: number, load: number): number {
  const utilisation = load / servers;
  return blocked / (1 - utilisation * (1 - blocked));
}

/**
 * Share of requests that wait at all; 1 when the load is more than the servers can do.
 *
 * @example
 * delayProbability(2, 1); // 1/3
 */
export function delayProbability(servers: number, load: number): number {
  if (servers <= load) {
    return 1;
  }
  // Erlang B by its recursion over the number of servers: stable, no factorials.
  let blocked = 1;
  for (let count = 1; count <= servers; count += 1) {
    blocked = (load * blocked) / (count + load * blocked);
  }
  return fromErlangB(blocked, servers, load);
}

/**
 * Fewest servers with which at most `target` of the requests wait longer than `wait` mean service times.
 * One pass of the recursion over the number of servers.
 *
 * @example
 * requiredServers(10, 0.1); // { servers: 16, delayedRatio: 0.063… }
 * requiredServers(10, 0.1, 0.5); // fewer: half a service time of waiting is allowed
 */
export function requiredServers(load: number, target: number, wait = 0): IStaffing {
  let blocked = 1;
  for (let servers = 1; ; servers += 1) {
    blocked = (load * blocked) / (servers + load * blocked);
    if (servers > load) {
      const spare = servers - load;
      const delayed = fromErlangB(blocked, servers, load) * Math.exp(-spare * wait);
      if (delayed <= target) {
        return { servers, delayedRatio: delayed };
      }
    }
  }
}
