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
    const relays = this.relaysFor(own);
    if (relays.length > 0) {
      send({ kind: 'relays', relays });
    }
  }

  /** @inheritdoc */
  dispose(): void {
    this.timer.dispose();
  }

  private sendAll(): void {
    this.sessions().forEach(({ relay, send }) => this.greet(relay, send));
    this.onRelays(this.relaysFor(undefined));
    this.timer = this.clock.setTimer(INTERVAL_MS, () => this.sendAll());
  }

  /** Draws up to MAX_RELAYS relays, without that of the VM itself. */
  private relaysFor(own: string | undefined): readonly string[] {
    const all = this.sessions().flatMap(({ relay }) => (relay === undefined ? [] : [relay]));
    return [...new Set(all)]
      .filter((relay) => relay !== own)
      .map((relay) => ({ relay, order: this.random.next() }))
      .sort((a, b) => a.order - b.order)
      .slice(0, MAX_RELAYS)
      .map(({ relay }) => relay);
  }
}
