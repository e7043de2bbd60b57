import type * as commonTypes from '../common/Types.js';
import type * as commonServices from '../common/services/Services.js';
import type * as coldEndpoints from './ColdEndpoints.js';
import * as endpointRates from './EndpointRates.js';
import type * as rateLimitTable from './RateLimitTable.js';
import type * as types from './Types.js';

/** Time after which a request for a permit that was not answered counts as refused. */
const PERMIT_TIMEOUT_MS = 60;
/** Time after an unanswered request in which a VM acts as without a coordinator. */
const LOCAL_TIME_MS = 500;
/** Minimum time for which no permit is requested after a refusal. */
const MIN_PAUSE_MS = 10;

/** Components that permits use. */
export interface IEndpointPermitsDependencies {
  readonly table: rateLimitTable.RateLimitTable;
  /** Endpoints that are cold; absent if none can be. */
  readonly cold?: coldEndpoints.ColdEndpoints;
  /** Limiter in use while no coordinator is connected, or it does not answer. */
  readonly local: types.IEndpointRateLimiter;
  readonly link: types.ICoordinatorLink;
  readonly clock: commonTypes.IClock;
  readonly metrics: commonServices.IMetricsService;
}

/**
 * Permits of an entry VM. The coordinator grants each of them, so that the VMs keep a limit together and a VM with much
 * demand gets what others do not need. Also exchanges the rate limits and cold endpoints that VMs have seen with the
 * coordinator.
 */
export class EndpointPermits implements types.IPermitService {
  private readonly pending = new Map<number, (answer: types.IPermitAnswer | undefined) => void>();

  /** Times on the monotonic clock before which no permit is requested, by endpoint. */
  private readonly pausedUntil = new Map<string, commonTypes.Millis>();

  private readonly rates: types.IRateSource;

  private nextPermitId = 1;

  private localUntil: commonTypes.Millis = 0;

  /** Starts the exchange over the link. */
  constructor(private readonly deps: IEndpointPermitsDependencies) {
    const { table, link, cold } = deps;
    this.rates = cold === undefined ? table : new endpointRates.EndpointRates([table, cold]);
    this.rates.onChange(({ endpointId }) => this.pausedUntil.delete(endpointId));
    link.onCoordinatorFound(() => link.sendRateLimits(table.observations));
    link.onPermit((answer) => this.pending.get(answer.permitId)?.(answer));
    link.onRateLimits((observations) => {
      const newer = table.merge(observations, 'coordinator');
      if (newer.length > 0) {
        link.sendRateLimits(newer);
      }
    });
    table.onChange(({ endpointId, isOwn }) => {
      const observation = table.observationOf(endpointId);
      if (isOwn && observation !== undefined) {
        link.sendRateLimits([observation]);
      }
    });
    if (cold !== undefined) {
      this.exchangeCold(cold);
    }
  }

  /** @inheritdoc */
  isLimited(endpointId: string): boolean {
    return this.rates.limitOf(endpointId) !== undefined;
  }

  /** @inheritdoc */
  delayOf(endpointId: string): commonTypes.Millis {
    const { local, clock } = this.deps;
    if (!this.isLimited(endpointId)) {
      return 0;
    }
    if (!this.hasAnsweringCoordinator) {
      return local.delayOf(endpointId);
    }
    return Math.max(0, (this.pausedUntil.get(endpointId) ?? 0) - clock.monotonic());
  }

  /** @inheritdoc */
  acquire(endpointId: string): boolean | Promise<boolean> {
    const { local, metrics } = this.deps;
    if (!this.isLimited(endpointId)) {
      return true;
    }
    if (this.hasAnsweringCoordinator) {
      return this.request(endpointId);
    }
    const isGranted = local.take(endpointId);
    metrics.count('permits', { outcome: isGranted ? 'granted-locally' : 'refused-locally' });
    return isGranted;
  }

  private exchangeCold(cold: coldEndpoints.ColdEndpoints): void {
    const { link } = this.deps;
    link.onCoordinatorFound(() => link.sendCold(cold.statements));
    link.onCold((statements) => cold.merge(statements));
    cold.onChange(({ endpointId, isOwn }) => {
      const statement = cold.statementOf(endpointId);
      if (isOwn && statement !== undefined) {
        link.sendCold([statement]);
      }
    });
  }

  private get hasAnsweringCoordinator(): boolean {
    const { link, clock } = this.deps;
    return link.isConnected && clock.monotonic() >= this.localUntil;
  }

  private async request(endpointId: string): Promise<boolean> {
    const { link, clock, metrics } = this.deps;
    const permitId = this.nextPermitId;
    this.nextPermitId += 1;
    const answer = await new Promise<types.IPermitAnswer | undefined>((resolve) => {
      const timer = clock.setTimer(PERMIT_TIMEOUT_MS, () => resolve(undefined));
      this.pending.set(permitId, (received) => {
        timer.dispose();
        resolve(received);
      });
      link.requestPermit(permitId, endpointId);
    });
    this.pending.delete(permitId);
    if (answer === undefined) {
      metrics.count('permits', { outcome: 'unanswered' });
      this.localUntil = clock.monotonic() + LOCAL_TIME_MS;
      return false;
    }
    metrics.count('permits', { outcome: answer.isGranted ? 'granted' : 'refused' });
    if (!answer.isGranted) {
      const pause = Math.max(MIN_PAUSE_MS, answer.delay);
      this.pausedUntil.set(endpointId, clock.monotonic() + pause);
    }
    return answer.isGranted;
  }
}
