import type * as commonTypes from '../../common/Types.js';
import type * as types from '../Types.js';

const LATENCY_MS = 1;

/** An in-memory network of exchange transports, in which VMs can be disconnected. */
export class MemoryExchange {
  private readonly handlers = new Map<string, (digest: Uint8Array) => Uint8Array>();

  /** Ids of VMs that can neither send nor receive digests. */
  readonly disconnected = new Set<string>();

  /** Delays digests by the time of `clock`. */
  constructor(private readonly clock: commonTypes.IClock) {}

  /** Returns the transport of the VM `id`. */
  transport(id: string): types.IExchangeTransport {
    return {
      exchange: (peer, digest) => this.deliver(id, peer.id, digest),
      serve: (handler) => this.handlers.set(id, handler),
      dispose: () => this.handlers.delete(id),
    };
  }

  private async deliver(from: string, to: string, digest: Uint8Array): Promise<Uint8Array> {
    await this.clock.sleep(LATENCY_MS);
    const handler = this.handlers.get(to);
    if (!handler || this.disconnected.has(from) || this.disconnected.has(to)) {
      throw new Error(`${to} is unreachable`);
    }
    const answer = handler(digest);
    await this.clock.sleep(LATENCY_MS);
    return answer;
  }
}
