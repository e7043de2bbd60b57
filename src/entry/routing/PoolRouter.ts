import type * as commonTypes from '../../common/Types.js';
import type * as configTypes from '../../config/Types.js';
import type * as decisionOptions from '../DecisionOptions.js';
import * as endpointState from './EndpointState.js';
import type * as types from './Types.js';

/** Maximum age of the cached statistics over all endpoints of the pool. */
const PEER_STATISTICS_TTL_MS = 100;

/** Inputs of a choice besides the state of the endpoints. */
export interface IChoiceContext {
  readonly now: commonTypes.Millis;
  readonly tried: readonly string[];
  /** Names of the endpoints that hold the prompt prefix in their cache. */
  readonly holders: readonly string[];
  readonly role: configTypes.EndpointRole | undefined;
}

/** Scores the watched endpoints of one pool and chooses among them. */
export class PoolRouter {
  private readonly byName: ReadonlyMap<string, endpointState.EndpointState>;

  private readonly reservations = new Map<string, endpointState.EndpointState>();

  private medianSlowness = 0;

  /** Mean, over the endpoints with a load report, of the calls of other VMs. */
  private meanOtherCalls = 0;

  private statisticsAt: commonTypes.Millis = -Infinity;

  /**
   * Chooses among `states`. `zone` is the availability zone of this VM; `maxReservedRatio` is the fraction of
   * the endpoints that may be reserved at a time.
   */
  constructor(
    readonly states: readonly endpointState.EndpointState[],
    private readonly zone: string,
    private readonly options: decisionOptions.IRoutingOptions,
    private readonly maxReservedRatio: number,
    private readonly random: commonTypes.IRandom,
    private readonly membership: types.IMembershipView,
  ) {
    this.byName = new Map(states.map((state) => [state.endpoint.name, state]));
  }

  /** Returns the state of an endpoint by name, or undefined when this VM does not watch it. */
  state(name: string): endpointState.EndpointState | undefined {
    return this.byName.get(name);
  }

  /**
   * Chooses the endpoint with the lowest score among a few random candidates, then among all eligible
   * endpoints, then among those already tried, and last among the ejected or busy ones.
   */
  choose(choice: IChoiceContext): endpointState.EndpointState | undefined {
    return (
      this.chooseBest(this.sampleCandidates(choice), choice) ??
      this.chooseBest(this.eligible(choice), choice) ??
      this.chooseBest(this.eligible({ ...choice, tried: [] }), choice) ??
      this.chooseFallback(choice)
    );
  }

  /** Reserves an endpoint for `owner`; returns undefined until it has no calls of this VM in flight. */
  chooseExclusive(owner: string, choice: IChoiceContext): endpointState.EndpointState | undefined {
    const state = this.reservations.get(owner) ?? this.reserve(owner, choice);
    return state?.ownCallsInFlight === 0 ? state : undefined;
  }

  /** Releases the endpoint reserved for `owner`, if any. */
  cancelReservation(owner: string): void {
    const state = this.reservations.get(owner);
    if (state) {
      state.reserved = false;
      this.reservations.delete(owner);
    }
  }

  /** Logarithm of an endpoint's slowness relative to the median of the pool. */
  relativeSlowness(state: endpointState.EndpointState, now: commonTypes.Millis): number {
    this.refreshStatistics(now);
    return state.logSlowness(now) - this.medianSlowness;
  }

  /** Whether the endpoint's relative slowness exceeds the configured straggler ratio. */
  isStraggler(state: endpointState.EndpointState, now: commonTypes.Millis): boolean {
    return this.relativeSlowness(state, now) > Math.log(this.options.stragglerRatio);
  }

  /**
   * Ejects a failing endpoint and returns true, unless too many of its peers are ejected already: a failure
   * that they share is not a fault of this endpoint.
   */
  ejectUnlessWidespread(state: endpointState.EndpointState, now: commonTypes.Millis): boolean {
    if (!state.health.shouldEject) {
      return false;
    }
    const ejected = this.states.filter((peer) => peer.health.ejected).length;
    if (ejected + 1 > Math.floor(this.states.length * this.options.ejectMaxShare)) {
      return false;
    }
    state.health.eject(now);
    return true;
  }

  private loadOf(state: endpointState.EndpointState, now: commonTypes.Millis): number {
    this.refreshStatistics(now);
    return state.load(now, this.meanOtherCalls);
  }

  private refreshStatistics(now: commonTypes.Millis): void {
    if (now - this.statisticsAt < PEER_STATISTICS_TTL_MS) {
      return;
    }
    this.statisticsAt = now;
    this.medianSlowness = this.computeMedianSlowness(now);
    const reports = this.states.flatMap((state) => state.reportedOtherCalls ?? []);
    this.meanOtherCalls =
      reports.reduce((sum, others) => sum + others, 0) / Math.max(1, reports.length);
  }

  private reserve(owner: string, choice: IChoiceContext): endpointState.EndpointState | undefined {
    const maxReserved = Math.max(1, Math.floor(this.states.length * this.maxReservedRatio));
    if (this.reservations.size >= maxReserved) {
      return undefined;
    }
    const eligible = this.eligible(choice);
    const candidates = eligible.length > 0 ? eligible : this.eligible({ ...choice, tried: [] });
    const leastLoaded = candidates.reduce<endpointState.EndpointState | undefined>(
      (best, state) =>
        !best || this.loadOf(state, choice.now) < this.loadOf(best, choice.now) ? state : best,
      undefined,
    );
    if (leastLoaded) {
      leastLoaded.reserved = true;
      this.reservations.set(owner, leastLoaded);
    }
    return leastLoaded;
  }

  private isProbing(): boolean {
    return this.states.some((state) => state.health.probing);
  }

  private sampleCandidates(choice: IChoiceContext): readonly endpointState.EndpointState[] {
    const { candidates } = this.options;
    if (this.states.length <= candidates) {
      return this.eligible(choice);
    }
    const picked: endpointState.EndpointState[] = [];
    // Draws twice as often as candidates are needed, since some draws hit ineligible endpoints.
    for (let draw = 0; draw < 2 * candidates && picked.length < candidates; draw++) {
      const state = this.states[this.random.nextInt(this.states.length)];
      if (state && !picked.includes(state) && this.isEligible(state, choice)) {
        picked.push(state);
      }
    }
    choice.holders.forEach((name) => {
      const holder = this.byName.get(name);
      if (holder && !picked.includes(holder) && this.isEligible(holder, choice)) {
        picked.push(holder);
      }
    });
    return picked;
  }

  private eligible(choice: IChoiceContext): readonly endpointState.EndpointState[] {
    return this.states.filter((state) => this.isEligible(state, choice));
  }

  private isEligible(state: endpointState.EndpointState, choice: IChoiceContext): boolean {
    const { name, role } = state.endpoint;
    if (state.reserved || choice.tried.includes(name) || !state.health.isEligible(choice.now)) {
      return false;
    }
    if (state.health.ejected && (choice.tried.length > 0 || this.isProbing())) {
      // A probe may fail, so only one runs at a time and a retry is never used as a probe.
      return false;
    }
    const matchesRole = choice.role === undefined || role === 'both' || role === choice.role;
    return matchesRole && this.membership.accepts(name);
  }

  private chooseBest(
    candidates: readonly endpointState.EndpointState[],
    choice: IChoiceContext,
  ): endpointState.EndpointState | undefined {
    let best: endpointState.EndpointState | undefined;
    let bestScore = Infinity;
    // A random start index spreads equal scores over the endpoints.
    const start = candidates.length === 0 ? 0 : this.random.nextInt(candidates.length);
    for (let index = 0; index < candidates.length; index++) {
      const state = candidates[(start + index) % candidates.length];
      const score = state ? this.score(state, choice) : Infinity;
      if (score < bestScore) {
        best = state;
        bestScore = score;
      }
    }
    return best;
  }

  /** Cost of one more call at the endpoint, in units of calls in flight at an endpoint of median speed. */
  private score(state: endpointState.EndpointState, choice: IChoiceContext): number {
    const slowness = this.relativeSlowness(state, choice.now);
    const isStraggler = slowness > Math.log(this.options.stragglerRatio);
    const work = (this.loadOf(state, choice.now) + 1) * (isStraggler ? Math.exp(slowness) : 1);
    const zonePenalty = state.endpoint.zone === this.zone ? 0 : this.options.zonePenalty;
    const prefixBonus = choice.holders.includes(state.endpoint.name) ? this.options.prefixBonus : 0;
    return work + zonePenalty - prefixBonus;
  }

  /** Chooses among all endpoints that membership accepts, for when each is ejected or busy. */
  private chooseFallback(choice: IChoiceContext): endpointState.EndpointState | undefined {
    const accepting = this.states.filter(
      (state) => !state.reserved && this.membership.accepts(state.endpoint.name),
    );
    const untried = accepting.filter((state) => !choice.tried.includes(state.endpoint.name));
    return this.chooseBest(untried.length > 0 ? untried : accepting, choice);
  }

  private computeMedianSlowness(now: commonTypes.Millis): number {
    const sorted = this.states.map((state) => state.logSlowness(now)).sort((a, b) => a - b);
    return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
  }
}
