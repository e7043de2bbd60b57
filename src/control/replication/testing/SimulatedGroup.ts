import * as seededRandom from '../../../common/SeededRandom.js';
import * as manualClock from '../../../common/testing/ManualClock.js';
import * as recordingLog from '../../../common/testing/RecordingLogService.js';
import * as memoryDisk from '../../log/testing/MemoryDisk.js';
import * as retryOnFullDisk from '../../log/RetryOnFullDisk.js';
import * as replica from '../Replica.js';
import type * as types from '../Types.js';
import * as freezableClock from './FreezableClock.js';
import * as registers from './Registers.js';
import * as simulatedNetwork from './SimulatedNetwork.js';

const DATA_DIR = '/data';
const MAX_ATTEMPTS = 10;

/** One simulated process with its disk. */
export interface ISimulatedReplica {
  readonly id: string;
  readonly log: replica.Replica;
  readonly clock: freezableClock.FreezableClock;
  readonly state: registers.Registers;
}

/** Timeouts of the simulations, and a snapshot every few dozen commands. */
export const TUNING: Partial<types.ITuning> = {
  heartbeatMs: 50,
  electionTimeoutMs: 200,
  callTimeoutMs: 150,
  catchUpTimeoutMs: 3000,
  snapshotMinLogBytes: 2048,
  snapshotChunkBytes: 64,
  diskReserveBytes: 1,
};

/** A group of replicas in one simulation, whose safety is checked as it runs. */
export class SimulatedGroup {
  /** Time of the simulation. */
  readonly clock = new manualClock.ManualClock();

  /** Draws of the simulation. */
  readonly random: seededRandom.SeededRandom;

  /** Links between the replicas. */
  readonly network: simulatedNetwork.SimulatedNetwork;

  /** Events of all replicas. */
  readonly logService = new recordingLog.RecordingLogService();

  /** Running replicas by id. */
  readonly running = new Map<string, ISimulatedReplica>();

  /** Disks by replica, kept while it is down. */
  readonly disks = new Map<string, memoryDisk.MemoryDisk>();

  /** Broken invariants; empty in a sound run. */
  readonly violations: string[] = [];

  /** Committed command by index, as first applied anywhere. */
  readonly committed = new Map<number, string>();

  /** Whether replicas wait while their disk is full; without it they stop, as a bare disk makes them. */
  waitsForRoom = false;

  private readonly leaders = new Map<number, string>();

  /** Names the `founding` replicas, whose syncs take up to `maxSyncMs`; none is started. */
  constructor(
    seed: number,
    readonly founding: readonly string[] = ['c1', 'c2', 'c3'],
    private readonly maxSyncMs = 4,
    private readonly tuning: Partial<types.ITuning> = TUNING,
  ) {
    this.random = new seededRandom.SeededRandom(seed);
    this.network = new simulatedNetwork.SimulatedNetwork(this.clock, this.random);
  }

  /** Starts all founding replicas and waits for a leader. */
  async startAll(): Promise<ISimulatedReplica> {
    for (const id of this.founding) {
      await this.start(id);
    }
    return this.waitForLeader();
  }

  /** Starts a replica on its disk, or on a new one. */
  async start(id: string, founding = this.founding): Promise<ISimulatedReplica> {
    const clock = new freezableClock.FreezableClock(this.clock);
    const disk = this.disks.get(id) ?? this.makeDisk();
    disk.clock = clock;
    this.disks.set(id, disk);
    const state = new registers.Registers((index, text) => this.noteApplied(id, index, text));
    const members = founding.map((each) => ({ id: each, address: each }));
    const opening = replica.Replica.open(
      { id, dataDir: DATA_DIR, members, tuning: this.tuning },
      {
        clock,
        random: this.random,
        logService: this.logService,
        stateMachine: state,
        transport: this.network.connect(id, clock),
        disk: this.waitsForRoom
          ? new retryOnFullDisk.RetryOnFullDisk(disk, clock, this.logService)
          : disk,
      },
    );
    const log = await this.complete(opening);
    log.onLeadership((leads) => {
      if (leads) {
        this.noteLeader(log.status().term, id);
      }
    });
    const started = { id, log, clock, state };
    this.running.set(id, started);
    return started;
  }

  /** Kills a replica; what its disk keeps depends on `mode`. */
  crash(id: string, mode: memoryDisk.CrashMode = 'lose'): void {
    this.running.get(id)?.log.dispose();
    this.running.delete(id);
    this.disks.set(id, (this.disks.get(id) as memoryDisk.MemoryDisk).crash(mode));
  }

  /** Loses the disk of a replica that is down. */
  loseDisk(id: string): void {
    this.disks.delete(id);
  }

  /** Moves time until the promise settles. */
  async complete<T>(promise: Promise<T>, limit = 20_000): Promise<T> {
    let settled = false;
    promise.then(
      () => {
        settled = true;
      },
      () => {
        settled = true;
      },
    );
    const end = this.clock.now() + limit;
    await this.clock.advance(0);
    while (!settled) {
      if (this.clock.now() > end) {
        throw new Error('the simulation stalled');
      }
      await this.clock.advance(5);
    }
    return promise;
  }

  /** The running leader of the highest term. */
  leader(): ISimulatedReplica | undefined {
    return [...this.running.values()]
      .filter(({ log }) => log.status().role === 'leader')
      .sort((a, b) => b.log.status().term - a.log.status().term)[0];
  }

  /** Moves time until a leader confirms that it leads. */
  async waitForLeader(limit = 20_000): Promise<ISimulatedReplica> {
    const end = this.clock.now() + limit;
    while (this.clock.now() < end) {
      const leader = this.leader();
      if (leader !== undefined && (await this.confirms(leader))) {
        return leader;
      }
      await this.clock.advance(20);
    }
    throw new Error('no leader');
  }

  /** Proposes a write at the leader and waits for it. */
  async write(key: string, value: string): Promise<string> {
    const { log } = await this.waitForLeader();
    const result = await this.complete(log.propose(registers.encodeWrite(key, value)));
    return Buffer.from(result).toString();
  }

  /** Writes until a write is acknowledged; `value` is followed by the number of the attempt. */
  async writeRetrying(key: string, value: string): Promise<void> {
    for (let attempt = 1; attempt <= MAX_ATTEMPTS; attempt++) {
      const written = await this.write(key, `${value}${attempt}`).then(
        () => true,
        (err: Error) => err.name !== 'CommitUnknownError',
      );
      if (written) {
        return;
      }
    }
    throw new Error('no write was acknowledged');
  }

  /** Moves time until all running replicas have applied the same index. */
  async converge(): Promise<void> {
    await this.waitForLeader();
    for (let turn = 0; turn < 400; turn++) {
      const indices = [...this.running.values()].map(({ log }) => log.status().appliedIndex);
      if (new Set(indices).size === 1) {
        return;
      }
      await this.clock.advance(20);
    }
    throw new Error('the replicas do not converge');
  }

  /** Stops everything. */
  dispose(): void {
    this.running.forEach(({ log }) => log.dispose());
  }

  private makeDisk(): memoryDisk.MemoryDisk {
    return new memoryDisk.MemoryDisk(this.clock, this.random, this.maxSyncMs);
  }

  private async confirms(leader: ISimulatedReplica): Promise<boolean> {
    try {
      await this.complete(leader.log.readBarrier());
      return true;
    } catch {
      return false;
    }
  }

  private noteLeader(term: number, id: string): void {
    const other = this.leaders.get(term);
    if (other !== undefined && other !== id) {
      this.violations.push(`two leaders in term ${term}: ${other} and ${id}`);
    }
    this.leaders.set(term, id);
  }

  private noteApplied(id: string, index: number, text: string): void {
    const other = this.committed.get(index);
    if (other !== undefined && other !== text) {
      this.violations.push(`${id} applied ${text} at ${index}, another ${other}`);
    }
    this.committed.set(index, text);
  }
}
