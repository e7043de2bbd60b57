import type * as types from '../Types.js';

/** Outgoing link of a VM with a limited rate: messages leave one after the other. */
export class RateLimitedLink {
  /** Bytes sent since the link was created. */
  sentBytes = 0;

  private freeAt: types.Millis;

  /** Creates an idle link. */
  constructor(
    private readonly clock: types.IClock,
    private readonly bytesPerMs: number,
  ) {
    this.freeAt = clock.monotonic();
  }

  /** Time that a message waits before it leaves. */
  get delay(): types.Millis {
    return Math.max(0, this.freeAt - this.clock.monotonic());
  }

  /** Sends a message; `onSent` is called when its last byte has left. */
  send(bytes: number, onSent: () => void): void {
    this.sentBytes += bytes;
    this.freeAt = this.clock.monotonic() + this.delay + bytes / this.bytesPerMs;
    this.clock.setTimer(this.delay, onSent);
  }
}
