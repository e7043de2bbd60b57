import * as emitter from '../common/Emitter.js';
import type * as commonServices from '../common/services/Services.js';
import type * as commonTypes from '../common/Types.js';
import type * as types from './Types.js';

interface IMember {
  readonly generation: number;
  readonly leaving: boolean;
  readonly incarnation: string;
  /** Whether the newest list lacks this endpoint. */
  readonly missing: boolean;
}

/** Monotonic times of the latest successful and the latest failed call of this VM; -Infinity for none. */
interface IEvidence {
  aliveAt: commonTypes.Millis;
  deadAt: commonTypes.Millis;
}

/**
 * Tracks which endpoints are live or leaving. It merges the platform's list, which lags, with the results of
 * calls made by this VM and with hints from peers. The newer generation wins; within one generation `leaving`
 * wins. A list that is older than the last one, is empty or lacks too many known endpoints at once is not
 * trusted: endpoints that it lacks keep getting work unless calls to them fail. An endpoint with a new
 * incarnation on the same address does not inherit the state of the old one. The size is bounded by the number
 * of declared and listed endpoints.
 */
export class MembershipTable implements commonTypes.IDisposable {
  private readonly members = new Map<string, IMember>();

  private readonly evidence = new Map<string, IEvidence>();

  private readonly changed = new emitter.Emitter<types.IMemberHint>();

  private readonly restarted = new emitter.Emitter<string>();

  private generation = 0;

  private listAppliedAt: commonTypes.Millis | undefined;

  /** Fires for changes that have to be sent to peers immediately. */
  readonly onChange = this.changed.event;

  /** Fires with the name of an endpoint that has a new incarnation. */
  readonly onRestart = this.restarted.event;

  /** `options` set the share of known endpoints that a trusted list may lack. */
  constructor(
    private readonly options: types.IMembershipOptions,
    private readonly clock: commonTypes.IClock,
    private readonly log: commonServices.ILogService,
    private readonly metrics: commonServices.IMetricsService,
  ) {}

  /** Returns whether the endpoint may get new work; an unknown endpoint may. */
  accepts(endpoint: string): boolean {
    const member = this.members.get(endpoint);
    if (!member) {
      return true;
    }
    return !member.leaving && !(member.missing && this.isDead(endpoint));
  }

  /** Records that the endpoint answered a call, or that a connection to it failed. */
  observe(endpoint: string, alive: boolean): void {
    const evidence = this.evidence.get(endpoint) ?? { aliveAt: -Infinity, deadAt: -Infinity };
    const now = this.clock.monotonic();
    this.evidence.set(endpoint, {
      aliveAt: alive ? now : evidence.aliveAt,
      deadAt: alive ? evidence.deadAt : now,
    });
  }

  /** Records the incarnation that the endpoint reported. */
  observeIncarnation(endpoint: string, incarnation: string): void {
    const member = this.members.get(endpoint);
    if (member?.incarnation === incarnation) {
      return;
    }
    const isNew = member !== undefined && member.incarnation !== '';
    // A new process on the same address does not inherit the leaving state of the old one.
    const leaving = isNew ? false : (member?.leaving ?? false);
    this.set(endpoint, { ...(member ?? this.unknownMember()), incarnation, leaving });
    if (isNew) {
      this.restarted.fire(endpoint);
    }
  }

  /** Applies the platform's list, as far as it is trusted. */
  applyList(list: types.IPlatformList): void {
    if (list.generation < this.generation) {
      this.reportDistrust('older', list);
      return;
    }
    this.generation = list.generation;
    this.listAppliedAt = this.clock.monotonic();
    list.vms.forEach((vm) => this.applyListed(vm, list.generation));
    const names = new Set(list.vms.map((vm) => vm.name));
    const missing = [...this.members.keys()].filter((name) => !names.has(name));
    if (missing.length > this.members.size * this.options.maxMissingRatio) {
      this.reportDistrust('too few', list);
      return;
    }
    missing.forEach((name) => this.markMissing(name, list.generation));
  }

  /** Applies a hint from a peer; returns whether the hint changed the table. */
  applyHint(hint: types.IMemberHint): boolean {
    const member = this.members.get(hint.endpoint);
    const isOlder = member !== undefined && hint.generation < member.generation;
    const isSame = member?.generation === hint.generation && member.leaving === hint.leaving;
    const isWeaker = member?.generation === hint.generation && member.leaving && !hint.leaving;
    if (isOlder || isSame || isWeaker) {
      return false;
    }
    const incarnation = hint.incarnation === '' ? (member?.incarnation ?? '') : hint.incarnation;
    const { generation, leaving } = hint;
    this.set(hint.endpoint, { generation, leaving, incarnation, missing: false });
    return true;
  }

  /** Returns the milliseconds since the last list that was not older; undefined before the first. */
  listAge(): commonTypes.Millis | undefined {
    return this.listAppliedAt === undefined
      ? undefined
      : this.clock.monotonic() - this.listAppliedAt;
  }

  /** Removes endpoints that are neither declared nor listed. */
  retain(declared: ReadonlySet<string>): void {
    [...this.evidence.keys()]
      .filter((name) => !declared.has(name))
      .forEach((name) => this.evidence.delete(name));
    [...this.members]
      .filter(([name, member]) => member.missing && !declared.has(name))
      .forEach(([name]) => this.members.delete(name));
  }

  /** @inheritdoc */
  dispose(): void {
    this.changed.dispose();
    this.restarted.dispose();
  }

  private applyListed(vm: types.IListedVm, generation: number): void {
    const member = this.members.get(vm.name) ?? this.unknownMember();
    const leaving = vm.state === 'leaving';
    if (generation < member.generation) {
      return;
    }
    if (generation === member.generation && member.leaving && !leaving) {
      return;
    }
    this.set(vm.name, { ...member, generation, leaving, missing: false });
  }

  private markMissing(name: string, generation: number): void {
    const member = this.members.get(name);
    if (member && !member.missing && member.generation < generation) {
      this.members.set(name, { ...member, missing: true });
    }
  }

  private isDead(endpoint: string): boolean {
    const evidence = this.evidence.get(endpoint);
    return evidence !== undefined && evidence.deadAt > evidence.aliveAt;
  }

  private set(endpoint: string, member: IMember): void {
    const before = this.members.get(endpoint);
    this.members.set(endpoint, member);
    if ((before?.leaving ?? false) === member.leaving) {
      return;
    }
    const { generation, leaving, incarnation } = member;
    this.log.info('endpoint-membership', { endpoint, leaving, generation });
    this.changed.fire({ endpoint, generation, leaving, incarnation });
  }

  private unknownMember(): IMember {
    return { generation: 0, leaving: false, incarnation: '', missing: false };
  }

  private reportDistrust(reason: string, list: types.IPlatformList): void {
    this.metrics.count('membership_list_distrusted', { reason });
    this.log.warn('membership-list-distrusted', {
      reason,
      generation: list.generation,
      vms: list.vms.length,
      known: this.members.size,
    });
  }
}
