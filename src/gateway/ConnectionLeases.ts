import type * as net from 'node:net';
import type * as byteBudget from '../common/memory/ByteBudget.js';
import type * as memory from '../common/memory/Types.js';

/** A lease of a connection; `release` ends it. */
export interface IConnectionLease {
  readonly lease: memory.IByteLease;
  readonly release: () => void;
}

/** Leases of what is held for connections; those of a connection end with it at the latest. */
export class ConnectionLeases {
  private readonly leases = new Map<net.Socket, Set<memory.IByteLease>>();

  /** Takes leases from `budget`. */
  constructor(private readonly budget: byteBudget.ByteBudget) {}

  /** Starts a lease for `socket`; see ByteBudget.lease. */
  take(socket: net.Socket, purpose: memory.Purpose, reclaim: () => void): IConnectionLease {
    const lease = this.budget.lease(purpose, reclaim);
    const ofSocket = this.leases.get(socket) ?? this.track(socket);
    ofSocket.add(lease);
    const release = (): void => {
      ofSocket.delete(lease);
      lease.dispose();
    };
    if (socket.destroyed) {
      release();
    }
    return { lease, release };
  }

  private track(socket: net.Socket): Set<memory.IByteLease> {
    const ofSocket = new Set<memory.IByteLease>();
    this.leases.set(socket, ofSocket);
    socket.once('close', () => {
      this.leases.delete(socket);
      ofSocket.forEach((lease) => lease.dispose());
    });
    return ofSocket;
  }
}
