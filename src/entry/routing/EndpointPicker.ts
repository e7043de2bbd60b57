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

/** Where this entry VM stands. */
export interface ISelf {
  readonly id: string;
  readonly zone: string;
  /** Different each time that the process starts; absent where it starts once. */
  readonly incarnation?: string;
}

/** What the picker works with. */
export interface IPickerServices {
  readonly clock: commonTypes.IClock;
  readonly random: commonTypes.IRandom;
  readonly log: services.ILogService;
  readonly metrics: services.IMetricsService;
  readonly membership: types.IMembershipView;
  /** Latencies of attempts, against which slowness is measured. */
  readonly latencies: latencyTable.LatencyTable;
}

interface IWatchedPool {
  readonly endpoints: readonly configTypes.IEndpoint[];
  readonly router: poolRouter.PoolRouter;
}

/** Chooses among a few watched endpoints by own counts, discounted reports, zone, prefix and slowness. */
export class EndpointPicker implements entryTypes.IEndpointPicker {
  /** Which endpoints hold which prefix. */
  readonly prefixes: prefixIndex.PrefixIndex;

  private readonly pools = new Map<string, IWatchedPool>();

  /** Chooses for the entry VM `self`. */
  constructor(
    private readonly self: ISelf,
    private readonly options: decisionOptions.IDecisionOptions,
    private readonly use: IPickerServices,
  ) {
    this.prefixes = new prefixIndex.PrefixIndex(options.routing.maxPrefixes);
  }

  /** Takes the pools of a new configuration; what was learnt of endpoints that stay is kept. */
  updateConfiguration(cfg: configTypes.IConfiguration): void {
    const { pools } = cfg.declaration;
    const names = new Set(pools.map((pool) => pool.name));
    [...this.pools.keys()]
      .filter((name) => !names.has(name))
      .forEach((name) => this.pools.delete(name));
    pools.forEach((pool) => this.watch(pool));
    this.prefixes.retain(
      new Set(pools.flatMap((pool) => pool.endpoints.map((endpoint) => endpoint.name))),
    );
  }

  /** @inheritdoc */
  pick(
    pool: configTypes.IPool,
    ctx: entryTypes.IRequestContext,
    hints: entryTypes.IPickHints,
  ): entryTypes.IEndpointChoice | undefined {
    const { router } = this.watch(pool);
    const choice: poolRouter.IChoiceContext = {
      now: this.use.clock.monotonic(),
      tried: hints.tried,
      holders: hints.prefix === undefined ? [] : this.prefixes.holders(hints.prefix),
      role: hints.role,
    };
    const state = hints.alone ? router.chooseAlone(ctx.id, choice) : router.choose(choice);
    return state && this.start(pool, router, state, ctx, hints);
  }

  /** @inheritdoc */
  cancelReservation(pool: configTypes.IPool, ctx: entryTypes.IRequestContext): void {
    this.watch(pool).router.cancel(ctx.id);
  }

  /** Takes a load report that came beside the answers. */
  observeLoad(pool: configTypes.IPool, name: string, report: entryTypes.ILoadReport): void {
    const state = this.watch(pool).router.state(name);
    state?.observeLoad(report, this.use.clock.monotonic());
  }

  /** The endpoint is a new incarnation: what was learnt of the old one is dropped. */
  restart(name: string): void {
    this.pools.forEach(({ router }) => router.state(name)?.reset());
    this.prefixes.restart(name);
  }

  /** Endpoints that this VM watches, by pool. */
  watched(): readonly configTypes.IEndpoint[] {
    return [...this.pools.values()].flatMap(({ router }) =>
      router.states.map((state) => state.endpoint),
    );
  }

  /** Sets the gauges of all pools. */
  report(): void {
    const now = this.use.clock.monotonic();
    this.pools.forEach(({ router }, pool) => {
      const ejected = router.states.filter((state) => state.health.ejected).length;
      const slow = router.states.filter((state) => router.isStraggler(state, now)).length;
      this.use.metrics.gauge('endpoints_watched', router.states.length, { pool });
      this.use.metrics.gauge('endpoints_ejected', ejected, { pool });
      this.use.metrics.gauge('endpoints_straggling', slow, { pool });
    });
  }

  private watch(pool: configTypes.IPool): IWatchedPool {
    const known = this.pools.get(pool.name);
    if (known?.endpoints === pool.endpoints) {
      return known;
    }
    const { routing, crash } = this.options;
    const chosen = subset.chooseSubset(this.self.id, pool.endpoints, routing.subsetSize);
    const states = chosen.map((endpoint) => this.keepOrCreate(known, endpoint));
    const router = new poolRouter.PoolRouter(
      states,
      this.self.zone,
      routing,
      crash.maxIsolatedShare,
      this.use.random,
      this.use.membership,
    );
    const watched = { endpoints: pool.endpoints, router };
    this.pools.set(pool.name, watched);
    return watched;
  }

  private keepOrCreate(
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

  private start(
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
          router.cancel(ctx.id);
        }
        this.learn(pool, router, state, hints, outcome);
      },
    };
  }

  private learn(
    pool: configTypes.IPool,
    router: poolRouter.PoolRouter,
    state: endpointState.EndpointState,
    hints: entryTypes.IPickHints,
    outcome: entryTypes.IAttemptOutcome,
  ): void {
    const now = this.use.clock.monotonic();
    const { name } = state.endpoint;
    this.learnSlowness(state, hints, outcome, now);
    if (outcome.ok && hints.prefix !== undefined) {
      this.prefixes.add(hints.prefix, name);
    }
    if (outcome.ok || outcome.failure === 'connect-failed') {
      this.use.membership.observe(name, outcome.ok);
    }
    if (state.end(outcome, now)) {
      this.use.log.info('endpoint-returned', { pool: pool.name, endpoint: name });
    }
    if (router.ejectIfLone(state, now)) {
      this.use.metrics.count('endpoint_ejected', { pool: pool.name });
      this.use.log.warn('endpoint-ejected', {
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
    const usual = hints.key === undefined ? undefined : this.use.latencies.quantile(hints.key, 0.5);
    if (usual !== undefined && usual > 0) {
      state.observeRunning(elapsed / usual, this.use.clock.monotonic());
    }
  }

  private learnSlowness(
    state: endpointState.EndpointState,
    hints: entryTypes.IPickHints,
    outcome: entryTypes.IAttemptOutcome,
    now: commonTypes.Millis,
  ): void {
    const usual = hints.key === undefined ? undefined : this.use.latencies.quantile(hints.key, 0.5);
    if (usual === undefined || usual <= 0) {
      return;
    }
    if (outcome.ok) {
      state.observeLatency(outcome.latency / usual, now);
    } else if (outcome.failure === 'stage-timeout' || outcome.failure === 'cancelled') {
      state.observeRunning(outcome.latency / usual, now);
    }
  }
}
