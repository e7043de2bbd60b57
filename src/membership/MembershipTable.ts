import * as emitter from '../common/Emitter.js';
import type * as commonServices from '../common/services/Services.js';
import type * as commonTypes from '../common/Types.js';
import type * as types from './Types.js';

interface IMember {
  readonly generation: number;
  readonly leaving: boolean;
  readonly incarnation: string;
  /** Whether the newest list no longer has it. */
  readonly missing: boolean;
}

interface IEvidence {
  aliveAt: commonTypes.Millis;
  deadAt: commonTypes.Millis;
}

/**
 * Live and leaving endpoints: the platform's lagging list joined with own evidence and peers' word.
 * The newer generation wins, and within one generation `leaving` wins. A list that is older than one seen,
 * empty, or lacks too many at once is not obeyed: endpoints that it lacks stay in unless own calls to them
 * fail. A new incarnation on the same address starts anew. Bounded by the declared and listed endpoints.
 */
export class MembershipTable implements commonTypes.IDisposable {
  private readonly members = new Map<string, IMember>();

  private readonly evidence = new Map<string, IEvidence>();

  private readonly changed = new emitter.Emitter<types.IMemberHint>();

  private readonly restarted = new emitter.Emitter<string>();

  private generation = 0;

  private listAt: commonTypes.Millis | undefined;

  /** Fires on what peers should hear at once. */
  readonly onChange = this.changed.event;

  /** Fires when an endpoint is a new incarnation. */
  readonly onRestart = this.restarted.event;

  /** Distrusts lists by `options`. */
  constructor(
    private readonly options: types.IMembershipOptions,
    private readonly clock: commonTypes.IClock,
    private readonly log: commonServices.ILogService,
    private readonly metrics: commonServices.IMetricsService,
  ) {}

  /** Whether the endpoint may get new work. One that nobody spoke of may. */
  accepts(endpoint: string): boolean {
    const member = this.members.get(endpoint);
    if (!member) {
      return true;
    }
    return !member.leaving && !(member.missing && this.isDead(endpoint));
  }

  /** Adds own evidence: it answered, or a connection to it failed. */
  observe(endpoint: string, alive: boolean): void {
    const evidence = this.evidence.get(endpoint) ?? { aliveAt: -Infinity, deadAt: -Infinity };
    const now = this.clock.monotonic();
    this.evidence.set(endpoint, {
      aliveAt: alive ? now : evidence.aliveAt,
      deadAt: alive ? evidence.deadAt : now,
    });
  }

  /** The endpoint told its incarnation. */
  observeIncarnation(endpoint: string, incarnation: string): void {
    const member = this.members.get(endpoint);
    if (member?.incarnation === incarnation) {
      return;
    }
    const isNew = member !== undefined && member.incarnation !== '';
    // A new process on the address does not inherit the old one's leave.
    const leaving = isNew ? false : (member?.leaving ?? false);
    this.set(endpoint, { ...(member ?? this.unknown()), incarnation, leaving });
    if (isNew) {
      this.restarted.fire(endpoint);
    }
  }

  /** Takes the platform's list. */
  applyList(list: types.IPlatformList): void {
    if (list.generation < this.generation) {
      this.distrust('older', list);
      return;
    }
    this.generation = list.generation;
    this.listAt = this.clock.monotonic();
    list.vms.forEach((vm) => this.applyListed(vm, list.generation));
    const names = new Set(list.vms.map((vm) => vm.name));
    const missing = [...this.members.keys()].filter((name) => !names.has(name));
    if (missing.length > this.members.size * this.options.maxMissingRatio) {
      this.distrust('too few', list);
      return;
    }
    missing.forEach((name) => this.markMissing(name, list.generation));
  }

  /** Takes a peer's word; returns whether it was news. */
  applyHint(hint: types.IMemberHint): boolean {
    const member = this.members.get(hint.endpoint);
    const older = member !== undefined && hint.generation < member.generation;
    const same = member?.generation === hint.generation && member.leaving === hint.leaving;
    const weaker = member?.generation === hint.generation && member.leaving && !hint.leaving;
    if (older || same || weaker) {
      return false;
    }
    const incarnation = hint.incarnation === '' ? (member?.incarnation ?? '') : hint.incarnation;
    const { generation, leaving } = hint;
    this.set(hint.endpoint, { generation, leaving, incarnation, missing: false });
    return true;
  }

  /** Milliseconds since a list was obeyed; undefined before the first. */
  listAge(): commonTypes.Millis | undefined {
    return this.listAt === undefined ? undefined : this.clock.monotonic() - this.listAt;
  }

  /** Drops what is known of endpoints that are neither declared nor listed. */
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
    const member = this.members.get(vm.name) ?? this.unknown();
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

  private unknown(): IMember {
    return { generation: 0, leaving: false, incarnation: '', missing: false };
  }

  private distrust(reason: string, list: types.IPlatformList): void {
    this.metrics.count('membership_list_distrusted', { reason });
    this.log.warn('membership-list-distrusted', {
      reason,
      generation: list.generation,
      vms: list.vms.length,
      known: this.members.size,
    });
  }
}
