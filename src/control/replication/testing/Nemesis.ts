import type * as memoryDisk from '../../log/testing/MemoryDisk.js';
import type * as simulatedGroup from './SimulatedGroup.js';

const MAX_CALM_MS = 600;
/** One fault in so many is preceded by a calm time, so that work gets done between faults. */
const CALM_EVERY = 4;
const CALM_MS = 1000;
const MAX_LOSS_RATE = 0.3;
const CRASH_MODES: readonly memoryDisk.CrashMode[] = ['lose', 'tear', 'keep', 'kill'];

/** Bytes that a nearly full disk still takes: the next writes are cut in the middle. */
const MAX_ROOM = 60;
const SLOW_SYNC_MS = 400;
/** Faults of processes and links; the rest are of disks. */
const COMMON_FAULTS = 10;
const DISK_FAULTS = 4;

/** Draws faults for a simulated group: cut links, lossy links, crashes, frozen processes, bad disks. */
export class Nemesis {
  private readonly frozen = new Set<string>();

  /** Draws from the group's own random numbers; disks fail only `withDisks`. */
  constructor(
    private readonly group: simulatedGroup.SimulatedGroup,
    private readonly withDisks = false,
  ) {}

  /** Makes `count` faults, with time between them. */
  async run(count: number): Promise<void> {
    const { clock, random, network } = this.group;
    network.duplicateRate = 0.1;
    for (let fault = 0; fault < count; fault++) {
      if (random.nextInt(CALM_EVERY) === 0) {
        await this.end();
        await clock.advance(CALM_MS);
      }
      await this.act(random.nextInt(COMMON_FAULTS + (this.withDisks ? DISK_FAULTS : 0)));
      await clock.advance(random.nextInt(MAX_CALM_MS));
    }
  }

  /** Ends all faults: links are mended, every replica runs. */
  async end(): Promise<void> {
    this.group.network.heal();
    this.group.network.lossRate = 0;
    this.thawAll();
    this.mendDisks();
    await this.restartAll();
  }

  private async act(fault: number): Promise<void> {
    const { network, random } = this.group;
    const actions: readonly (() => void | Promise<void>)[] = [
      () => network.isolate(this.pick()),
      () => network.cut(this.pick(), this.pick()),
      () => network.isolate(this.pickLeader()),
      () => network.heal(),
      () => {
        network.lossRate = random.next() * MAX_LOSS_RATE;
      },
      () => this.crash(this.pick()),
      () => this.crash(this.pickLeader()),
      () => this.restartAll(),
      () => this.toggleFreeze(this.pickLeader()),
      () => this.powerLoss(),
      () => this.fillDisk(this.pick()),
      () => this.fillDisk(this.pickLeader()),
      () => this.slowDisk(this.pick()),
      () => this.mendDisks(),
    ];
    await actions[fault]?.();
  }

  private pick(): string {
    const { founding, random } = this.group;
    return founding[random.nextInt(founding.length)] as string;
  }

  private pickLeader(): string {
    return this.group.leader()?.id ?? this.pick();
  }

  private crash(id: string): void {
    if (this.group.running.has(id)) {
      this.frozen.delete(id);
      this.group.crash(id, CRASH_MODES[this.group.random.nextInt(CRASH_MODES.length)]);
    }
  }

  /** Stops every replica at once and loses all that was not synced. */
  private async powerLoss(): Promise<void> {
    this.frozen.clear();
    [...this.group.running.keys()].forEach((id) => this.group.crash(id, 'lose'));
    await this.restartAll();
  }

  private fillDisk(id: string): void {
    // A replica that is down would only start once there is room; RetryOnFullDisk.test.ts has that case.
    if (this.group.running.has(id)) {
      const remainingBytes = this.group.random.nextInt(MAX_ROOM);
      Object.assign(this.group.disks.get(id) ?? {}, { remainingBytes });
    }
  }

  private slowDisk(id: string): void {
    Object.assign(this.group.disks.get(id) ?? {}, { minSyncMs: SLOW_SYNC_MS });
  }

  private mendDisks(): void {
    this.group.disks.forEach((disk) =>
      Object.assign(disk, { remainingBytes: Infinity, minSyncMs: 0 }),
    );
  }

  private async restartAll(): Promise<void> {
    const down = this.group.founding.filter((id) => !this.group.running.has(id));
    for (const id of down) {
      await this.group.start(id);
    }
  }

  private toggleFreeze(id: string): void {
    if (this.frozen.size > 0) {
      this.thawAll();
    } else {
      this.group.running.get(id)?.clock.freeze();
      this.frozen.add(id);
    }
  }

  private thawAll(): void {
    this.frozen.forEach((id) => this.group.running.get(id)?.clock.thaw());
    this.frozen.clear();
  }
}
