import * as emitter from '../common/Emitter.js';
import type * as commonServices from '../common/services/Services.js';
import type * as commonTypes from '../common/Types.js';
import type * as types from './Types.js';

/** Interval between attempts to reach an endpoint directly again whose path is lost. */
const RETRY_DIRECT_INTERVAL_MS = 1000;
/** Time for which the result of a check holds. */
const CHECK_LIFETIME_MS = 500;
/** Interval between checks of an address because it is silent; an endpoint may just be slow. */
const SILENCE_CHECK_INTERVAL_MS = 5000;
/** Timeout of the connections that a check opens. */
const CHECK_TIMEOUT_MS = 300;
/** A new connection counts as working once it has stayed open for this long: links may accept and then reset it. */
const HOLD_MS = 30;
/** A lost path to an address that is no longer used says nothing of other paths after this time. */
const LOSS_LIFETIME_MS = 5000;
/** What is known of an address that was not used for this long is removed. */
const RETENTION_MS = 60_000;

/** Components that the table of paths uses. */
export interface IEndpointPathsDependencies {
  readonly clock: commonTypes.IClock;
  readonly direct: types.IConnector;
  readonly relays: types.IRelayConnector;
  readonly logService: commonServices.ILogService;
  readonly metrics: commonServices.IMetricsService;
}

/** What is known of the path to one address; times are on the monotonic clock. */
interface IPath {
  isLost: boolean;
  lostAt: commonTypes.Millis;
  checkedAt: commonTypes.Millis;
  check: Promise<void> | undefined;
}

/**
 * Knows to which endpoints this VM has lost its own path. An endpoint that does not accept a connection from here may
 * as well be gone: only a connection through another VM at the same time shows that it is not. Each address is judged
 * by itself, so that a path may be lost to a part of the endpoints only. The table holds addresses with a lost path or
 * a check within RETENTION_MS.
 */
export class EndpointPaths {
  private readonly paths = new Map<string, IPath>();

  private readonly lossEmitter = new emitter.Emitter<string>();

  /** Fires with the address after a path was found to be lost. */
  readonly onLoss = this.lossEmitter.event;

  /** Takes all paths for working at first. */
  constructor(private readonly deps: IEndpointPathsDependencies) {}

  /** Whether the path from this VM to an address is lost. */
  isLost(address: string): boolean {
    return this.paths.get(address)?.isLost ?? false;
  }

  /** Whether the path to any address is lost, as a check or a connection lately showed. */
  get hasLosses(): boolean {
    const oldest = this.deps.clock.monotonic() - LOSS_LIFETIME_MS;
    return [...this.paths.values()].some(({ isLost, checkedAt }) => isLost && checkedAt > oldest);
  }

  /** Whether a connection that cannot be opened directly can be opened through another VM. */
  get canRelay(): boolean {
    return this.deps.relays.isAvailable;
  }

  /**
   * Returns how to open the next connection to an address. While its path is lost, now and then starts a check whether
   * it works again.
   */
  nextVia(address: string): types.Via {
    const path = this.paths.get(address);
    if (path === undefined || !path.isLost) {
      return 'direct';
    }
    if (this.deps.clock.monotonic() - path.checkedAt > RETRY_DIRECT_INTERVAL_MS) {
      void this.check(address);
    }
    return 'relay';
  }

  /**
   * Checks an address to which a connection was opened through another VM; nothing happens if its path is known to be
   * lost.
   */
  checkRelayed(address: string): void {
    if (!this.isLost(address)) {
      void this.check(address);
    }
  }

  /** Checks an address whose connection brings no response, unless it was checked lately. */
  checkSilent(address: string): void {
    const { checkedAt } = this.pathOf(address);
    if (this.deps.clock.monotonic() - checkedAt > SILENCE_CHECK_INTERVAL_MS) {
      void this.check(address);
    }
  }

  /**
   * Finds out whether the path to an address is lost, after a connection failed or was silent: opens a direct
   * connection; if that fails, one through another VM, and then a direct one again, since the endpoint may have started
   * in between. Resolves with true if only the second one works. The result holds for CHECK_LIFETIME_MS.
   */
  async check(address: string): Promise<boolean> {
    const { clock, relays } = this.deps;
    if (!relays.isAvailable) {
      return false;
    }
    const path = this.pathOf(address);
    if (path.check === undefined && clock.monotonic() - path.checkedAt > CHECK_LIFETIME_MS) {
      path.check = this.runCheck(address, path);
    }
    await path.check;
    return path.isLost;
  }

  private async runCheck(address: string, path: IPath): Promise<void> {
    const { clock, direct, relays, metrics } = this.deps;
    let isDirect = await this.canConnect(direct, address);
    const isRelayed = !isDirect && (path.isLost || (await this.canConnect(relays, address)));
    if (isRelayed && !path.isLost) {
      isDirect = await this.canConnect(direct, address);
    }
    Object.assign(path, { checkedAt: clock.monotonic(), check: undefined });
    const relayed = isRelayed ? 'lost' : 'unreachable';
    metrics.count('path_checks', { outcome: isDirect ? 'direct' : relayed });
    if (isDirect || isRelayed) {
      this.setLost(address, !isDirect);
    }
  }

  private async canConnect(connector: types.IConnector, address: string): Promise<boolean> {
    try {
      const socket = await connector.connect(address, CHECK_TIMEOUT_MS);
      socket.on('error', () => {}).resume();
      await this.deps.clock.sleep(HOLD_MS);
      const isOpen = !socket.destroyed && !socket.readableEnded;
      socket.destroy();
      return isOpen;
    } catch {
      // The caller counts the outcome; a failure is one of the two expected results.
      return false;
    }
  }

  private setLost(address: string, isLost: boolean): void {
    const { clock, logService, metrics } = this.deps;
    const path = this.pathOf(address);
    if (path.isLost === isLost) {
      return;
    }
    const now = clock.monotonic();
    if (isLost) {
      Object.assign(path, { isLost, lostAt: now, checkedAt: now });
      logService.warn('path-lost', { address });
      metrics.count('paths_lost');
      this.lossEmitter.fire(address);
    } else {
      path.isLost = false;
      logService.info('path-back', { address, after: Math.round(now - path.lostAt) });
    }
  }

  private pathOf(address: string): IPath {
    const present = this.paths.get(address);
    if (present !== undefined) {
      return present;
    }
    this.removeOld();
    const path = {
      isLost: false,
      lostAt: 0,
      checkedAt: Number.NEGATIVE_INFINITY,
      check: undefined,
    };
    this.paths.set(address, path);
    return path;
  }

  private removeOld(): void {
    const oldest = this.deps.clock.monotonic() - RETENTION_MS;
    [...this.paths]
      .filter(([, path]) => path.check === undefined && path.checkedAt < oldest)
      .forEach(([address]) => this.paths.delete(address));
  }
}
