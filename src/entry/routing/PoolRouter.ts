import type * as commonTypes from '../../common/Types.js';
import type * as configTypes from '../../config/Types.js';
import type * as decisionOptions from '../DecisionOptions.js';
import * as endpointState from './EndpointState.js';
import type * as types from './Types.js';

/** Age at which what the peers have in common is read anew. */
const PEERS_AGE_MS = 100;

/** What a choice takes into account beside the endpoints' own state. */
export interface IChoiceContext {
  readonly now: commonTypes.Millis;
  readonly tried: readonly string[];
  /** Names of endpoints that hold the prefix. */
  readonly holders: readonly string[];
  readonly role: configTypes.EndpointRole | undefined;
}

/** Compares the watched endpoints of one pool. */
export class PoolRouter {
  private readonly byName: ReadonlyMap<string, endpointState.EndpointState>;

  private readonly owners = new Map<string, endpointState.EndpointState>();

  private medianSlowness = 0;

  /** Mean of the calls of others that the endpoints reported. */
  private usualOthers = 0;

  private readAt: commonTypes.Millis = -Infinity;

  /** Watches `states`; `zone` is the availability zone of this VM. */
  constructor(
    readonly states: readonly endpointState.EndpointState[],
    private readonly zone: string,
    private readonly options: decisionOptions.IRoutingOptions,
    private readonly isolationShare: number,
    private readonly random: commonTypes.IRandom,
    private readonly membership: types.IMembershipView,
  ) {
    this.byName = new Map(states.map((state) => [state.endpoint.name, state]));
  }

  /** State of an endpoint by name. */
  state(name: string): endpointState.EndpointState | undefined {
    return this.byName.get(name);
  }

  /** The best of a few candidates; of the ejected ones only when nothing else is left. */
  choose(choice: IChoiceContext): endpointState.EndpointState | undefined {
    return (
      this.best(this.sample(choice), choice) ??
      this.best(this.fit(choice), choice) ??
      this.best(this.fit({ ...choice, tried: [] }), choice) ??
      this.lastResort(choice)
    );
  }

  /** An endpoint with nothing in flight, kept for `owner` alone; undefined while there is none. */
  chooseExclusive(owner: string, choice: IChoiceContext): endpointState.EndpointState | undefined {
    const state = this.owners.get(owner) ?? this.reserve(owner, choice);
    return state?.ownCallsInFlight === 0 ? state : undefined;
  }

  /** Gives up what was kept for `owner`. */
  cancelReservation(owner: string): void {
    const state = this.owners.get(owner);
    if (state) {
      state.reserved = false;
      this.owners.delete(owner);
    }
  }

  /** Logarithm of an endpoint's slowness against the median of its peers. */
  relativeSlowness(state: endpointState.EndpointState, now: commonTypes.Millis): number {
    this.readPeers(now);
    return state.logSlowness(now) - this.medianSlowness;
  }

  /** Whether the endpoint is much slower than its peers. */
  isStraggler(state: endpointState.EndpointState, now: commonTypes.Millis): boolean {
    return this.relativeSlowness(state, now) > Math.log(this.options.stragglerRatio);
  }

  /** Ejects a failing endpoint unless too many of its peers are out: a common failure is not its own. */
  ejectUnlessWidespread(state: endpointState.EndpointState, now: commonTypes.Millis): boolean {
    if (!state.health.shouldEject) {
      return false;
    }
    const out = this.states.filter((peer) => peer.health.ejected).length;
    if (out + 1 > Math.floor(this.states.length * this.options.ejectMaxShare)) {
      return false;
    }
    state.health.eject(now);
    return true;
  }

  private loadOf(state: endpointState.EndpointState, now: commonTypes.Millis): number {
    this.readPeers(now);
    return state.load(now, this.usualOthers);
  }

  private readPeers(now: commonTypes.Millis): void {
    if (now - this.readAt < PEERS_AGE_MS) {
      return;
    }
    this.readAt = now;
    this.medianSlowness = this.median(now);
    const reports = this.states.flatMap((state) => state.reportedOtherCalls ?? []);
    this.usualOthers =
      reports.reduce((sum, others) => sum + others, 0) / Math.max(1, reports.length);
  }

  private reserve(owner: string, choice: IChoiceContext): endpointState.EndpointState | undefined {
    const most = Math.max(1, Math.floor(this.states.length * this.isolationShare));
    if (this.owners.size >= most) {
      return undefined;
    }
    const free = this.fit(choice);
    const candidates = free.length > 0 ? free : this.fit({ ...choice, tried: [] });
    const least = candidates.reduce<endpointState.EndpointState | undefined>(
      (best, state) =>
        !best || this.loadOf(state, choice.now) < this.loadOf(best, choice.now) ? state : best,
      undefined,
    );
    if (least) {
      least.reserved = true;
      this.owners.set(owner, least);
    }
    return least;
  }

  private isProbing(): boolean {
    return this.states.some((state) => state.health.probing);
  }

  private sample(choice: IChoiceContext): readonly endpointState.EndpointState[] {
    const { candidates } = this.options;
    if (this.states.length <= candidates) {
      return this.fit(choice);
    }
    const picked: endpointState.EndpointState[] = [];
    // Twice as many draws as candidates, since some draws fall on unfit endpoints.
    for (let draw = 0; draw < 2 * candidates && picked.length < candidates; draw++) {
      const state = this.states[this.random.nextInt(this.states.length)];
      if (state && !picked.includes(state) && this.isFit(state, choice)) {
        picked.push(state);
      }
    }
    choice.holders.forEach((name) => {
      const holder = this.byName.get(name);
      if (holder && !picked.includes(holder) && this.isFit(holder, choice)) {
        picked.push(holder);
      }
    });
    return picked;
  }

  private fit(choice: IChoiceContext): readonly endpointState.EndpointState[] {
    return this.states.filter((state) => this.isFit(state, choice));
  }

  private isFit(state: endpointState.EndpointState, choice: IChoiceContext): boolean {
    const { name, role } = state.endpoint;
    if (state.reserved || choice.tried.includes(name) || !state.health.isEligible(choice.now)) {
      return false;
    }
    if (state.health.ejected && (choice.tried.length > 0 || this.isProbing())) {
      // A probe may fail: one at a time, and never as a retry.
      return false;
    }
    const fitsRole = choice.role === undefined || role === 'both' || role === choice.role;
    return fitsRole && this.membership.accepts(name);
  }

  private best(
    candidates: readonly endpointState.EndpointState[],
    choice: IChoiceContext,
  ): endpointState.EndpointState | undefined {
    let best: endpointState.EndpointState | undefined;
    let bestScore = Infinity;
    // The start is drawn, so that equal scores do not always fall on the same endpoint.
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

  /** Cost of one more call, in calls in flight at an ordinary endpoint. */
  private score(state: endpointState.EndpointState, choice: IChoiceContext): number {
    const slowness = this.relativeSlowness(state, choice.now);
    const straggles = slowness > Math.log(this.options.stragglerRatio);
    const work = (this.loadOf(state, choice.now) + 1) * (straggles ? Math.exp(slowness) : 1);
    const zone = state.endpoint.zone === this.zone ? 0 : this.options.zonePenalty;
    const prefix = choice.holders.includes(state.endpoint.name) ? this.options.prefixBonus : 0;
    return work + zone - prefix;
  }

  /** Any endpoint that is not leaving, when every one is ejected or busy. */
  private lastResort(choice: IChoiceContext): endpointState.EndpointState | undefined {
    const accepting = this.states.filter(
      (state) => !state.reserved && this.membership.accepts(state.endpoint.name),
    );
    const untried = accepting.filter((state) => !choice.tried.includes(state.endpoint.name));
    return this.best(untried.length > 0 ? untried : accepting, choice);
  }

  private median(now: commonTypes.Millis): number {
    const sorted = this.states.map((state) => state.logSlowness(now)).sort((a, b) => a - b);
    return sorted[Math.floor((sorted.length - 1) / 2)] ?? 0;
  }
}
