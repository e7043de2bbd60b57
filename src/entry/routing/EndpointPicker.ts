import type * as services from '../../common/services/Services.js';
import type * as commonTypes from '../../common/Types.js';
import type * as configTypes from '../../config/Types.js';
import type * as decisionOptions from '../DecisionOptions.js';
import type * as latencyTable from '../stage/LatencyTable.js';
import type * as entryTypes from '../Types.js';
import * as endpointState from './EndpointState.js';
import * as poolRouter from './PoolRouter.js';
import * as prefixIndex from './PrefixIndex.js';
import * as subset from './Subset.js';
import type * as types from './Types.js';

/** Identity and availability zone of this entry VM. */
export interface IEntryIdentity {
  readonly id: string;
  readonly zone: string;
  /** Differs at each start of the process; absent when the process starts only once. */
  readonly incarnation?: string;
}

/** Services that the picker uses. */
export interface IPickerServices {
  readonly clock: commonTypes.IClock;
  readonly random: commonTypes.IRandom;
  readonly log: services.ILogService;
  readonly metrics: services.IMetricsService;
  readonly membership: types.IMembershipView;
  /** Latencies of attempts; their median is the reference for slowness. */
  readonly latencies: latencyTable.LatencyTable;
}

interface IWatchedPool {
  readonly endpoints: readonly configTypes.IEndpoint[];
  /** Zones whose endpoints were left out. */
  readonly closedZones: readonly string[];
  readonly router: poolRouter.PoolRouter;
}

/**
 * Chooses an endpoint among a few watched candidates by the calls in flight from this VM, load reports
 * discounted by age, availability zone, prefix affinity and slowness.
 */
export class EndpointPicker implements entryTypes.IEndpointPicker {
  /** Index of the prompt prefixes that each endpoint has cached. */
  readonly prefixes: prefixIndex.PrefixIndex;

  private closedZones: readonly string[] = [];

  /** Pools of the configuration in force. */
  private configured: readonly configTypes.IPool[] = [];

  private readonly pools = new Map<string, IWatchedPool>();

  /** `self` seeds the subset of endpoints and its zone is preferred; `options` also bounds the prefix index. */
  constructor(
    private readonly self: IEntryIdentity,
    private readonly options: decisionOptions.IDecisionOptions,
    private readonly services: IPickerServices,
  ) {
    this.prefixes = new prefixIndex.PrefixIndex(options.routing.maxPrefixes);
  }

  /** Applies the pools of a new configuration; endpoints that stay keep their state. */
  updateConfiguration(cfg: configTypes.IConfiguration): void {
    const { pools } = cfg.declaration;
    this.configured = pools;
    const names = new Set(pools.map((pool) => pool.name));
    [...this.pools.keys()]
      .filter((name) => !names.has(name))
      .forEach((name) => this.pools.delete(name));
    pools.forEach((pool) => this.watchPool(pool));
    this.prefixes.retain(
      new Set(pools.flatMap((pool) => pool.endpoints.map((endpoint) => endpoint.name))),
    );
  }

  /**
   * Leaves out the endpoints of these zones from now on, and no others. Calls in flight go on; an endpoint that returns
   * starts without what was known of it.
   */
  closeZones(zones: readonly string[]): void {
    this.closedZones = zones;
    this.services.metrics.gauge('zones_closed', zones.length);
    this.configured.forEach((pool) => this.watchPool(pool));
  }

  /** @inheritdoc */
  pick(
    pool: configTypes.IPool,
    ctx: entryTypes.IRequestContext,
    hints: entryTypes.IPickHints,
  ): entryTypes.IEndpointChoice | undefined {
    const { router } = this.watchPool(pool);
    const choice: poolRouter.IChoiceContext = {
      now: this.services.clock.monotonic(),
      tried: hints.tried,
      holders: hints.prefix === undefined ? [] : this.prefixes.holders(hints.prefix),
      role: hints.role,
    };
    const state = hints.alone ? router.chooseExclusive(ctx.id, choice) : router.choose(choice);
    return state && this.startChoice(pool, router, state, ctx, hints);
  }

  /** @inheritdoc */
  cancelReservation(pool: configTypes.IPool, ctx: entryTypes.IRequestContext): void {
    this.watchPool(pool).router.cancelReservation(ctx.id);
  }

  /** Records a load report that did not arrive with an answer. */
  observeLoad(pool: configTypes.IPool, name: string, report: entryTypes.ILoadReport): void {
    const state = this.watchPool(pool).router.state(name);
    state?.observeLoad(report, this.services.clock.monotonic());
  }

  /** Resets the state and prefixes of an endpoint that has restarted as a new incarnation. */
  resetEndpoint(name: string): void {
    this.pools.forEach(({ router }) => router.state(name)?.reset());
    this.prefixes.reset(name);
  }

  /** Endpoints that this VM watches, grouped by pool. */
  watchedEndpoints(): readonly configTypes.IEndpoint[] {
    return [...this.pools.values()].flatMap(({ router }) =>
      router.states.map((state) => state.endpoint),
    );
  }

  /** Sets the gauges `endpoints_watched`, `endpoints_ejected` and `endpoints_straggling` of each pool. */
  reportGauges(): void {
    const now = this.services.clock.monotonic();
    this.pools.forEach(({ router }, pool) => {
      const ejected = router.states.filter((state) => state.health.ejected).length;
      const slow = router.states.filter((state) => router.isStraggler(state, now)).length;
      this.services.metrics.gauge('endpoints_watched', router.states.length, { pool });
      this.services.metrics.gauge('endpoints_ejected', ejected, { pool });
      this.services.metrics.gauge('endpoints_straggling', slow, { pool });
    });
  }

  private watchPool(pool: configTypes.IPool): IWatchedPool {
    const known = this.pools.get(pool.name);
    const { closedZones } = this;
    if (known?.endpoints === pool.endpoints && known.closedZones === closedZones) {
      return known;
    }
    const { routing, crash } = this.options;
    const open = pool.endpoints.filter(({ zone }) => !closedZones.includes(zone));
    const chosen = subset.chooseSubset(this.self.id, open, routing.subsetSize);
    const states = chosen.map((endpoint) => this.reuseOrCreateState(known, endpoint));
    const router = new poolRouter.PoolRouter(
      states,
      this.self.zone,
      routing,
      crash.maxIsolatedShare,
      this.services.random,
      this.services.membership,
    );
    const watched = { endpoints: pool.endpoints, closedZones, router };
    this.pools.set(pool.name, watched);
    return watched;
  }

  private reuseOrCreateState(
    known: IWatchedPool | undefined,
    endpoint: configTypes.IEndpoint,
  ): endpointState.EndpointState {
    const state = known?.router.state(endpoint.name);
    const same =
      state?.endpoint.address === endpoint.address &&
      state.endpoint.zone === endpoint.zone &&
      state.endpoint.role === endpoint.role;
    return state && same ? state : new endpointState.EndpointState(endpoint, this.options.routing);
  }

  private startChoice(
    pool: configTypes.IPool,
    router: poolRouter.PoolRouter,
    state: endpointState.EndpointState,
    ctx: entryTypes.IRequestContext,
    hints: entryTypes.IPickHints,
  ): entryTypes.IEndpointChoice {
    state.begin();
    let settled = false;
    return {
      endpoint: state.endpoint,
      observeRunning: (elapsed) => this.observeRunning(state, hints, elapsed),
      settle: (outcome) => {
        if (settled) {
          return;
        }
        settled = true;
        if (hints.alone) {
          router.cancelReservation(ctx.id);
        }
        this.recordOutcome(pool, router, state, hints, outcome);
      },
    };
  }

  private recordOutcome(
    pool: configTypes.IPool,
    router: poolRouter.PoolRouter,
    state: endpointState.EndpointState,
    hints: entryTypes.IPickHints,
    outcome: entryTypes.IAttemptOutcome,
  ): void {
    const now = this.services.clock.monotonic();
    const { name } = state.endpoint;
    this.recordSlowness(state, hints, outcome, now);
    if (outcome.ok && hints.prefix !== undefined) {
      this.prefixes.add(hints.prefix, name);
    }
    if (outcome.ok || outcome.failure === 'connect-failed') {
      this.services.membership.observe(name, outcome.ok);
    }
    if (state.end(outcome, now)) {
      this.services.log.info('endpoint-returned', { pool: pool.name, endpoint: name });
    }
    if (router.ejectUnlessWidespread(state, now)) {
      this.services.metrics.count('endpoint_ejected', { pool: pool.name });
      this.services.log.warn('endpoint-ejected', {
        pool: pool.name,
        endpoint: name,
        reason: outcome.failure,
      });
    }
  }

  private observeRunning(
    state: endpointState.EndpointState,
    hints: entryTypes.IPickHints,
    elapsed: commonTypes.Millis,
  ): void {
    const medianLatency =
      hints.key === undefined ? undefined : this.services.latencies.quantile(hints.key, 0.5);
    if (medianLatency !== undefined && medianLatency > 0) {
      state.observeRunning(elapsed / medianLatency, this.services.clock.monotonic());
    }
  }

  private recordSlowness(
    state: endpointState.EndpointState,
    hints: entryTypes.IPickHints,
    outcome: entryTypes.IAttemptOutcome,
    now: commonTypes.Millis,
  ): void {
    const medianLatency =
      hints.key === undefined ? undefined : this.services.latencies.quantile(hints.key, 0.5);
    if (medianLatency === undefined || medianLatency <= 0) {
      return;
    }
    if (outcome.ok) {
      state.observeLatency(outcome.latency / medianLatency, now);
    } else if (outcome.failure === 'stage-timeout' || outcome.failure === 'cancelled') {
      state.observeRunning(outcome.latency / medianLatency, now);
    }
  }
}
