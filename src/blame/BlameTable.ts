import * as lruCache from 'lru-cache';
import * as emitter from '../common/Emitter.js';
import type * as commonTypes from '../common/Types.js';
import type * as commonServices from '../common/services/Services.js';
import * as crashStore from './CrashStore.js';
import type * as types from './Types.js';
import * as newsReader from './NewsReader.js';
import * as verdictRules from './VerdictRules.js';

/** Maximum number of traits whose latest success is remembered before a crash; the least recently proven yield. */
const MAX_RECENT_PROOFS = 20_000;
/** Maximum number of proofs that are sent to another VM, the latest first. */
const MAX_SENT_PROOFS = 1000;
/** Smaller differences between two ends of a quarantine come from the transit of messages. */
const MIN_EXTENSION_MS = 100;

/** Components that a table uses. */
export interface IBlameTableDependencies {
  readonly clock: commonTypes.IClock;
  readonly logService: commonServices.ILogService;
  readonly metrics: commonServices.IMetricsService;
}

/**
 * Holds the crashes of endpoints with the requests that may have caused them, from this VM and from others, and the
 * verdicts that follow. Tables that exchange their news agree on the verdicts, in whatever order the news arrive. Its
 * size is bounded: successes are kept apart from crashes, so that many different requests displace no verdict.
 */
export class BlameTable {
  private readonly store: crashStore.CrashStore;

  /** Latest success of traits that are in the store. */
  private readonly proofs = new Map<string, commonTypes.Millis>();

  /** Latest success of any trait that this VM has seen. */
  private readonly recentProofs: lruCache.LRUCache<string, commonTypes.Millis>;

  private judgement: verdictRules.IJudgement = verdictRules.judge([], new Map());

  private readonly changeEmitter = new emitter.Emitter<types.IBlameChange>();

  private readonly verdictEmitter = new emitter.Emitter<types.IVerdict>();

  /** Fires after news that other VMs should know. */
  readonly onChange = this.changeEmitter.event;

  /** Fires when the quarantine of a trait begins or is extended. */
  readonly onVerdict = this.verdictEmitter.event;

  /** Creates an empty table. */
  constructor(private readonly deps: IBlameTableDependencies) {
    this.store = new crashStore.CrashStore(deps.clock);
    this.recentProofs = new lruCache.LRUCache({ max: MAX_RECENT_PROOFS });
  }

  /**
   * Verdict on a request, of several the one that lasts longest; undefined if none of its traits is to blame.
   *
   * @example
   * const verdict = table.verdictOf(traits);
   */
  verdictOf({ request, parts }: types.IRequestTraits): types.IVerdict | undefined {
    return this.verdictsOf([request, ...parts]).sort((a, b) => b.until - a.until)[0];
  }

  /**
   * Returns the refusal of a request while one of its traits is quarantined. A request that has one of several rival
   * traits is not refused for it: single ones are admitted as trials, which show the trait to blame.
   */
  refusalOf({ request, parts }: types.IRequestTraits): types.IQuarantineRefusal | undefined {
    const now = this.deps.clock.monotonic();
    const traits = [request, ...parts];
    const isTrial = ({ rivals }: types.IVerdict): boolean =>
      rivals.length > 0 && !rivals.some((rival) => traits.includes(rival));
    const latest = this.verdictsOf(traits)
      .filter((verdict) => verdict.until > now && !isTrial(verdict))
      .sort((a, b) => b.until - a.until)[0];
    return latest && { trait: latest.trait, retryAfter: latest.until - now };
  }

  /** Records a crash that this VM has observed, without the suspects that have succeeded lately. */
  recordCrash(crash: verdictRules.ITimedCrash): void {
    this.dropExpired();
    const mayBeToBlame = (trait: string): boolean =>
      verdictRules.countsAgainst(crash.at, this.recentProofs.get(trait));
    const suspects = crash.suspects
      .filter(({ request }) => mayBeToBlame(request))
      .map((suspect) => ({ ...suspect, parts: suspect.parts.filter(mayBeToBlame) }));
    const joins = this.store.findStartOf(crash.at);
    const id = this.store.add({ ...crash, joins, suspects });
    if (id !== undefined) {
      this.rejudge();
      this.fire([id], [], true);
      this.dropExpired();
    }
  }

  /** Records that an endpoint ran a request well, which clears the request's traits. */
  recordProof({ request, parts }: types.IRequestTraits): void {
    const now = this.deps.clock.monotonic();
    const traits = [request, ...parts];
    traits.forEach((trait) => this.recentProofs.set(trait, now));
    const cleared = traits.filter((trait) => this.judgement.suspected.has(trait));
    if (cleared.length > 0) {
      cleared.forEach((trait) => this.proofs.set(trait, now));
      this.rejudge();
      this.fire([], cleared, true);
    }
  }

  /** Adopts the news of another VM. */
  merge(news: types.IBlameNews): void {
    const { crashes, proofs } = newsReader.readNews(news);
    this.dropExpired();
    const now = this.deps.clock.monotonic();
    const newCrashes = crashes
      .map((crash) => this.store.add(crashStore.timed(crash, now)))
      .filter((id) => id !== undefined);
    const newProofs = proofs.filter(({ trait, age }) => this.addProof(trait, now - age));
    if (newCrashes.length === 0 && newProofs.length === 0) {
      return;
    }
    this.rejudge();
    this.fire(
      newCrashes,
      newProofs.map(({ trait }) => trait),
      false,
    );
    this.applyRecentProofs();
    this.dropExpired();
  }

  /** All crashes and proofs, from which another VM comes to the same verdicts. */
  get news(): types.IBlameNews {
    this.dropExpired();
    const ids = this.store.crashes.map(({ id }) => id);
    return this.newsOf(ids, [...this.proofs.keys()]);
  }

  private verdictsOf(traits: readonly string[]): types.IVerdict[] {
    const oldest = this.deps.clock.monotonic() - crashStore.RETENTION_MS;
    return traits
      .map((trait) => this.judgement.verdicts.get(trait))
      .filter((verdict) => verdict !== undefined && verdict.lastCrashAt >= oldest)
      .map((verdict) => verdict as types.IVerdict);
  }

  /** Number of crashes and of traits that the table holds, to check its bounds. */
  get size(): { readonly crashes: number; readonly proofs: number } {
    return { crashes: this.store.size, proofs: this.proofs.size + this.recentProofs.size };
  }

  /** Returns whether the proof says something new about a trait in the store. */
  private addProof(trait: string, at: commonTypes.Millis): boolean {
    const isKnown = at <= (this.proofs.get(trait) ?? Number.NEGATIVE_INFINITY);
    const clears = this.store
      .crashesWith(trait)
      .some((crash) => verdictRules.countsAgainst(crash.at, this.proofs.get(trait)));
    if (isKnown || !clears) {
      return false;
    }
    this.proofs.set(trait, at);
    return true;
  }

  /** Clears traits that other VMs suspect and that succeeded at this one. */
  private applyRecentProofs(): void {
    const cleared = [...this.judgement.suspected.keys()].filter((trait) => {
      const provenAt = this.recentProofs.get(trait);
      return provenAt !== undefined && this.addProof(trait, provenAt);
    });
    if (cleared.length > 0) {
      this.rejudge();
      this.fire([], cleared, true);
    }
  }

  private dropExpired(): void {
    if (!this.store.purge(this.judgement.verdicts)) {
      return;
    }
    [...this.proofs.keys()]
      .filter((trait) => this.store.crashesWith(trait).length === 0)
      .forEach((trait) => this.proofs.delete(trait));
    this.rejudge();
  }

  private rejudge(): void {
    const previous = this.judgement;
    this.judgement = verdictRules.judge(this.store.crashes, this.proofs);
    this.logSuspects(previous);
    previous.verdicts.forEach(({ trait }) => {
      if (!this.judgement.verdicts.has(trait)) {
        const reason = this.proofs.has(trait) ? 'succeeded' : 'expired';
        this.deps.logService.info('trait-cleared', { trait, reason });
      }
    });
    this.judgement.verdicts.forEach((verdict) => {
      const before = previous.verdicts.get(verdict.trait);
      if (before === undefined || verdict.until > before.until + MIN_EXTENSION_MS) {
        this.announce(verdict, before === undefined);
      }
    });
  }

  /** Logs traits with several crashes; those with one are the suspects in the line of that crash. */
  private logSuspects(previous: verdictRules.IJudgement): void {
    this.judgement.suspected.forEach((ids, trait) => {
      const isRepeated = ids.length >= verdictRules.MIN_CRASHES;
      if (isRepeated && ids.length > (previous.suspected.get(trait)?.length ?? 0)) {
        this.deps.logService.info('trait-suspected', { trait, crashes: ids.flat().join(',') });
      }
    });
  }

  private announce(verdict: types.IVerdict, isNew: boolean): void {
    const { clock, logService, metrics } = this.deps;
    const left = Math.round(verdict.until - clock.monotonic());
    const crashes = verdict.crashIds.join(',');
    logService.warn('trait-quarantined', { trait: verdict.trait, left, crashes });
    if (isNew) {
      metrics.count('traits_quarantined');
    }
    this.verdictEmitter.fire(verdict);
  }

  private fire(crashIds: readonly string[], traits: readonly string[], isOwn: boolean): void {
    this.changeEmitter.fire({ news: this.newsOf(crashIds, traits), isOwn });
  }

  private newsOf(crashIds: readonly string[], traits: readonly string[]): types.IBlameNews {
    const now = this.deps.clock.monotonic();
    const proofs = traits
      .map((trait) => ({ trait, age: now - (this.proofs.get(trait) ?? now) }))
      .sort((a, b) => a.age - b.age)
      .slice(0, MAX_SENT_PROOFS);
    return { crashes: this.store.records(crashIds, now), proofs };
  }
}
