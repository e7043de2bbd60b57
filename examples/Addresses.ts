/** Where the endpoints of an example listen. */

/** `ip:port` of each endpoint by the name of its pool. */
export type Addresses = Readonly<Record<string, readonly string[]>>;

/**
 * Loopback addresses for pools of the given sizes: consecutive ports from `firstPort` on.
 *
 * @example
 * loopback({ llm: 2 }, 9100); // { llm: ['127.0.0.1:9100', '127.0.0.1:9101'] }
 */
export function loopback(sizes: Readonly<Record<string, number>>, firstPort: number): Addresses {
  let port = firstPort;
  const take = (): string => {
    port += 1;
    return `127.0.0.1:${port - 1}`;
  };
  return Object.fromEntries(
    Object.entries(sizes).map(([pool, size]) => [pool, Array.from({ length: size }, take)]),
  );
}

/**
 * Addresses of one pool.
 *
 * @throws Error when the pool has none.
 * @example
 * addressesOf(addresses, 'llm');
 */
export function addressesOf(addresses: Addresses, pool: string): readonly string[] {
  const found = addresses[pool];
  if (found === undefined) {
    throw new Error(`no addresses for pool ${pool}`);
  }
  return found;
}
