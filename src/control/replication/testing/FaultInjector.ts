import type * as memoryDisk from '../../log/testing/MemoryDisk.js';
import type * as simulatedGroup from './SimulatedGroup.js';

const MAX_FAULT_INTERVAL_MS = 600;
/** On average one fault in this many is preceded by a recovery period, so that the clients make progress. */
const FAULTS_PER_RECOVERY = 4;
const RECOVERY_MS = 1000;
const MAX_LOSS_RATIO = 0.3;
const CRASH_MODES: readonly memoryDisk.CrashMode[] = ['lose', 'tear', 'keep', 'kill'];

/** Largest free space left on a nearly full disk, so that a following write is cut in the middle. */
const MAX_FREE_BYTES = 60;
const SLOW_SYNC_MS = 400;
/** The first actions in `injectFault` are faults of processes and links; the rest are faults of disks. */
const PROCESS_AND_LINK_FAULT_COUNT = 10;
const DISK_FAULT_COUNT = 4;

/**
 * Injects random faults into a simulated group: cut and lossy links, crashes, frozen processes, full and slow
 * disks.
 */
export class FaultInjector {
  private readonly frozenIds = new Set<string>();

  /** Draws from the random source of `group`; disk faults are injected only when `withDiskFaults` is set. */
  constructor(
    private readonly group: simulatedGroup.SimulatedGroup,
    private readonly withDiskFaults = false,
  ) {}

  /** Injects `count` faults at random intervals. */
  async run(count: number): Promise<void> {
    const { clock, random, network } = this.group;
    network.duplicateRatio = 0.1;
    for (let fault = 0; fault < count; fault++) {
      if (random.nextInt(FAULTS_PER_RECOVERY) === 0) {
        await this.endFaults();
        await clock.advance(RECOVERY_MS);
      }
      await this.injectFault(
        random.nextInt(PROCESS_AND_LINK_FAULT_COUNT + (this.withDiskFaults ? DISK_FAULT_COUNT : 0)),
      );
      await clock.advance(random.nextInt(MAX_FAULT_INTERVAL_MS));
    }
  }

  /** Ends all faults: restores the links, clocks and disks, and restarts the replicas that are down. */
  async endFaults(): Promise<void> {
    this.group.network.heal();
    this.group.network.lossRatio = 0;
    this.thawAll();
    this.repairDisks();
    await this.restartAll();
  }

  private async injectFault(fault: number): Promise<void> {
    const { network, random } = this.group;
    const actions: readonly (() => void | Promise<void>)[] = [
      () => network.isolate(this.pickReplica()),
      () => network.cut(this.pickReplica(), this.pickReplica()),
      () => network.isolate(this.pickLeader()),
      () => network.heal(),
      () => {
        network.lossRatio = random.next() * MAX_LOSS_RATIO;
      },
      () => this.crash(this.pickReplica()),
      () => this.crash(this.pickLeader()),
      () => this.restartAll(),
      () => this.toggleFreeze(this.pickLeader()),
      () => this.powerLoss(),
      () => this.fillDisk(this.pickReplica()),
      () => this.fillDisk(this.pickLeader()),
      () => this.slowDisk(this.pickReplica()),
      () => this.repairDisks(),
    ];
    await actions[fault]?.();
  }

  private pickReplica(): string {
    const { foundingIds, random } = this.group;
    return foundingIds[random.nextInt(foundingIds.length)] as string;
  }

  private pickLeader(): string {
    return this.group.leader()?.id ?? this.pickReplica();
  }

  private crash(id: string): void {
    if (this.group.running.has(id)) {
      this.frozenIds.delete(id);
      this.group.crash(id, CRASH_MODES[this.group.random.nextInt(CRASH_MODES.length)]);
    }
  }

  /** Crashes all replicas at once, which loses everything that was not synced, and restarts them. */
  private async powerLoss(): Promise<void> {
    this.frozenIds.clear();
    [...this.group.running.keys()].forEach((id) => this.group.crash(id, 'lose'));
    await this.restartAll();
  }

  private fillDisk(id: string): void {
    // A replica that is down would not start until there is free space; RetryOnFullDisk.test.ts covers that case.
    if (this.group.running.has(id)) {
      const remainingBytes = this.group.random.nextInt(MAX_FREE_BYTES);
      Object.assign(this.group.disks.get(id) ?? {}, { remainingBytes });
    }
  }

  private slowDisk(id: string): void {
    Object.assign(this.group.disks.get(id) ?? {}, { minSyncMs: SLOW_SYNC_MS });
  }

  private repairDisks(): void {
    this.group.disks.forEach((disk) =>
      Object.assign(disk, { remainingBytes: Infinity, minSyncMs: 0 }),
    );
  }

  private async restartAll(): Promise<void> {
    const down = this.group.foundingIds.filter((id) => !this.group.running.has(id));
    for (const id of down) {
      await this.group.start(id);
    }
  }

  private toggleFreeze(id: string): void {
    if (this.frozenIds.size > 0) {
      this.thawAll();
    } else {
      this.group.running.get(id)?.clock.freeze();
      this.frozenIds.add(id);
    }
  }

  private thawAll(): void {
    this.frozenIds.forEach((id) => this.group.running.get(id)?.clock.thaw());
    this.frozenIds.clear();
  }
}
