import type * as commonTypes from '../common/Types.js';
import type * as types from './Types.js';

/** Interval at which relays are sent to each entry VM. */
const INTERVAL_MS = 2000;
/** Maximum number of relays that one VM gets. */
const MAX_RELAYS = 16;

/** An entry VM that is connected to this control VM. */
export interface IRelaySession {
  /** Address at which it connects other VMs to endpoints; undefined if it does not. */
  readonly relay: string | undefined;
  send(message: types.DownMessage): void;
}

/**
 * The part of the feed that tells VMs which entry VMs connect them to endpoints: each gets others drawn at random, so
 * that VMs that lose their paths together use different ones.
 */
export class RelayExchange implements commonTypes.IDisposable {
  private timer: commonTypes.IDisposable;

  /** Relay addresses of the connected VMs, in any order. */
  private pool: string[] = [];

  /** `onRelays` receives the relays for this control VM itself, which calls endpoints as the coordinator. */
  constructor(
    private readonly clock: commonTypes.IClock,
    private readonly random: commonTypes.IRandom,
    private readonly sessions: () => readonly IRelaySession[],
    private readonly onRelays: (relays: readonly string[]) => void,
  ) {
    this.timer = clock.setTimer(INTERVAL_MS, () => this.sendAll());
  }

  /** Sends relays to an entry VM that has connected, whose own relay address is `own`. */
  greet(own: string | undefined, send: (message: types.DownMessage) => void): void {
    this.updatePool();
    this.sendDrawn(own, send);
  }

  /** @inheritdoc */
  dispose(): void {
    this.timer.dispose();
  }

  private sendAll(): void {
    this.updatePool();
    this.sessions().forEach(({ relay, send }) => this.sendDrawn(relay, send));
    this.onRelays(this.draw(undefined));
    this.timer = this.clock.setTimer(INTERVAL_MS, () => this.sendAll());
  }

  private sendDrawn(own: string | undefined, send: (message: types.DownMessage) => void): void {
    const relays = this.draw(own);
    if (relays.length > 0) {
      send({ kind: 'relays', relays });
    }
  }

  private updatePool(): void {
    this.pool = [...new Set(this.sessions().flatMap(({ relay }) => relay ?? []))];
  }

  /**
   * Draws up to MAX_RELAYS relays other than `own`, in random order. Shuffles the head of the pool only, so that the cost
   * of a draw does not grow with the number of VMs.
   */
  private draw(own: string | undefined): readonly string[] {
    const { pool } = this;
    const count = Math.min(pool.length, MAX_RELAYS + 1);
    for (let at = 0; at < count; at++) {
      const other = at + this.random.nextInt(pool.length - at);
      [pool[at], pool[other]] = [pool[other] as string, pool[at] as string];
    }
    const head = pool.slice(0, count);
    return head.filter((relay) => relay !== own).slice(0, MAX_RELAYS);
  }
}
