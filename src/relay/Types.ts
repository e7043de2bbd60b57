/** Contracts for connections to endpoints that lead through another entry VM. */
import type * as net from 'node:net';
import type * as commonTypes from '../common/Types.js';

/** Way of a connection to an endpoint: from this VM, or through another entry VM. */
export type Via = 'direct' | 'relay';

/** Reports that no connection to an endpoint was opened. */
export class ConnectError extends Error {
  /** `message` tells which step failed and why; `isRefused` whether nothing listens at the address. */
  constructor(
    message: string,
    readonly isRefused = false,
  ) {
    super(message);
    this.name = 'ConnectError';
  }
}

/**
 * Whether an error of a connection shows that nothing listens at the address.
 *
 * @example
 * socket.once('error', (err) => report(isRefusal(err)));
 */
export function isRefusal(err: Error): boolean {
  return err instanceof ConnectError
    ? err.isRefused
    : (err as NodeJS.ErrnoException).code === 'ECONNREFUSED';
}

/** Opens connections to endpoints. */
export interface IConnector {
  /** Resolves with a connected socket; rejects with ConnectError after `timeout` or on failure. */
  connect(address: string, timeout: commonTypes.Millis): Promise<net.Socket>;
}

/** Opens connections to endpoints through other entry VMs. */
export interface IRelayConnector extends IConnector {
  /** Whether any other entry VM is known. */
  readonly isAvailable: boolean;
}
