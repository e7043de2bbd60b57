import * as retryPacing from '../common/RetryPacing.js';
import type * as commonTypes from '../common/Types.js';
import * as feedConnection from './FeedConnection.js';
import type * as types from './Types.js';

/** Control VMs to which a VM keeps connections: more than a group loses at once. */
const MAX_STANDBYS = 6;
/** A connection without a message for this long is closed; control VMs send their state each second. */
const SILENCE_TIMEOUT_MS = 3000;
/** A control VM has lately said who leads if it sent its state within this time. */
const IN_TOUCH_MS = 1500;
/** Interval of the keepalive messages. */
const KEEPALIVE_INTERVAL_MS = 1000;
/** Intervals between attempts to connect to a control VM that does not answer. */
const INTERVALS: retryPacing.IRetryIntervals = { first: 500, longest: 4000 };

/** Components that standby connections use. */
export interface IStandbyConnectionsDependencies {
  readonly clock: commonTypes.IClock;
  readonly random: commonTypes.IRandom;
  /** Name of this VM. */
  readonly vm: string;
  /** Feed addresses (`ip:port`) of the members of the control group. */
  readonly members: () => readonly string[];
  /** Time in which all entry VMs together may connect to a control VM. */
  readonly spread: () => commonTypes.Millis;
  /** Receives each state message and the address of its sender. */
  readonly onState: (
    state: types.DownMessage & { readonly kind: 'state' },
    address: string,
  ) => void;
}

interface IStandby {
  readonly pacing: retryPacing.RetryPacing;
  connection: feedConnection.FeedConnection | undefined;
  /** Time of the next attempt at the earliest. */
  dueAt: commonTypes.Millis;
  keptAliveAt: commonTypes.Millis;
}

/**
 * Open connections of an entry VM to the control VMs that it does not use. They tell it of a new leader, and one of them
 * leads there at once: a leader that has just been elected is busy, and accepts one connection in each turn of its event
 * loop.
 *
 * @example
 * const connection = standbys.take('10.1.0.4:7140') ?? new FeedConnection('10.1.0.4:7140', clock, onMessage);
 */
export class StandbyConnections implements commonTypes.IDisposable {
  private readonly standbys = new Map<string, IStandby>();

  /** Starts without connections; `update` opens them. */
  constructor(private readonly deps: IStandbyConnectionsDependencies) {}

  /** Whether a control VM has lately sent its state on one of the connections. */
  get isInTouch(): boolean {
    return [...this.standbys.values()].some(({ connection }) =>
      StandbyConnections.isFresh(connection),
    );
  }

  /** Whether there is a connection to `address` on which a message has arrived lately. */
  has(address: string): boolean {
    return StandbyConnections.isFresh(this.standbys.get(address)?.connection);
  }

  /** Opens connections that are due, keeps them alive and closes silent ones; none to the control VM at `current`. */
  update(current: string | undefined): void {
    const addresses = this.deps
      .members()
      .filter((address) => address !== current)
      .slice(0, MAX_STANDBYS);
    [...this.standbys.keys()]
      .filter((address) => !addresses.includes(address))
      .forEach((address) => this.take(address)?.dispose());
    addresses.forEach((address) => this.updateOne(address));
  }

  /** Removes the connection to `address` and returns it if it is open; its messages are for the caller to receive. */
  take(address: string): feedConnection.FeedConnection | undefined {
    const connection = this.standbys.get(address)?.connection;
    this.standbys.delete(address);
    if (connection !== undefined && !StandbyConnections.isFresh(connection)) {
      connection.dispose();
      return undefined;
    }
    return connection;
  }

  /** Makes the attempts due that wait, because a control VM answers again after none did. */
  retrySoon(): void {
    const now = this.deps.clock.monotonic();
    this.standbys.forEach((standby) => {
      if (!StandbyConnections.isFresh(standby.connection)) {
        standby.connection?.dispose();
        standby.pacing.reset();
        Object.assign(standby, { connection: undefined, dueAt: now + this.drawDelay() });
      }
    });
  }

  /** @inheritdoc */
  dispose(): void {
    this.standbys.forEach(({ connection }) => connection?.dispose());
    this.standbys.clear();
  }

  private static isFresh(connection: feedConnection.FeedConnection | undefined): boolean {
    return (
      connection !== undefined &&
      connection.endReason === undefined &&
      connection.hasReceived &&
      connection.idleDuration < IN_TOUCH_MS
    );
  }

  private drawDelay(): commonTypes.Millis {
    return this.deps.random.next() * this.deps.spread();
  }

  private updateOne(address: string): void {
    const { clock, random, vm } = this.deps;
    const now = clock.monotonic();
    const standby = this.standbys.get(address) ?? {
      pacing: new retryPacing.RetryPacing(clock, random, INTERVALS),
      connection: undefined,
      dueAt: now + this.drawDelay(),
      keptAliveAt: now,
    };
    this.standbys.set(address, standby);
    const { connection, pacing } = standby;
    if (connection === undefined) {
      if (now >= standby.dueAt) {
        pacing.recordAttempt();
        const opened = this.open(address);
        opened.write({ kind: 'standby', vm });
        Object.assign(standby, { connection: opened, keptAliveAt: now });
      }
    } else if (connection.endReason !== undefined || connection.idleDuration > SILENCE_TIMEOUT_MS) {
      connection.dispose();
      Object.assign(standby, { connection: undefined, dueAt: now + pacing.delay });
    } else if (connection.hasReceived && now - standby.keptAliveAt > KEEPALIVE_INTERVAL_MS) {
      pacing.reset();
      connection.write({ kind: 'alive' });
      Object.assign(standby, { keptAliveAt: now });
    }
  }

  private open(address: string): feedConnection.FeedConnection {
    return new feedConnection.FeedConnection(address, this.deps.clock, (message) => {
      if (message.kind === 'state') {
        this.deps.onState(message, address);
      }
    });
  }
}
