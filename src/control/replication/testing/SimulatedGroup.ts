import * as seededRandom from '../../../common/SeededRandom.js';
import * as manualClock from '../../../common/testing/ManualClock.js';
import * as recordingLog from '../../../common/testing/RecordingLogService.js';
import * as memoryDisk from '../../log/testing/MemoryDisk.js';
import * as retryOnFullDisk from '../../log/RetryOnFullDisk.js';
import * as replica from '../Replica.js';
import type * as types from '../Types.js';
import * as freezableClock from './FreezableClock.js';
import * as registerStateMachine from './RegisterStateMachine.js';
import * as simulatedNetwork from './SimulatedNetwork.js';

const DATA_DIR = '/data';
const MAX_WRITE_ATTEMPTS = 10;

/** One simulated process: the replica with its clock and state machine. */
export interface ISimulatedReplica {
  readonly id: string;
  readonly log: replica.Replica;
  readonly clock: freezableClock.FreezableClock;
  readonly state: registerStateMachine.RegisterStateMachine;
}

/** Tuning of the simulations: short timeouts, and a snapshot every few dozen commands. */
export const TUNING: Partial<types.ITuning> = {
  heartbeatMs: 50,
  electionTimeoutMs: 200,
  callTimeoutMs: 150,
  catchUpTimeoutMs: 3000,
  snapshotMinLogBytes: 2048,
  snapshotChunkBytes: 64,
  diskReserveBytes: 1,
};

/** Simulated group of replicas that checks the safety invariants while it runs. */
export class SimulatedGroup {
  /** Clock of the simulation. */
  readonly clock = new manualClock.ManualClock();

  /** Random source of the simulation. */
  readonly random: seededRandom.SeededRandom;

  /** Network between the replicas. */
  readonly network: simulatedNetwork.SimulatedNetwork;

  /** Log events of all replicas. */
  readonly logService = new recordingLog.RecordingLogService();

  /** Running replicas by id. */
  readonly running = new Map<string, ISimulatedReplica>();

  /** Disks by replica id; a disk is kept while its replica is down. */
  readonly disks = new Map<string, memoryDisk.MemoryDisk>();

  /** Descriptions of violated invariants; empty in a correct run. */
  readonly violations: string[] = [];

  /** Committed commands by index, recorded when a replica applies them. */
  readonly committed = new Map<number, string>();

  /** Whether replicas wait for space while their disk is full (RetryOnFullDisk); otherwise a full disk stops them. */
  waitsForDiskSpace = false;

  private readonly leaderByTerm = new Map<number, string>();

  /** Creates the group of the replicas `foundingIds`, whose syncs take up to `maxSyncMs`, without starting any. */
  constructor(
    seed: number,
    readonly foundingIds: readonly string[] = ['c1', 'c2', 'c3'],
    private readonly maxSyncMs = 4,
    private readonly tuning: Partial<types.ITuning> = TUNING,
  ) {
    this.random = new seededRandom.SeededRandom(seed);
    this.network = new simulatedNetwork.SimulatedNetwork(this.clock, this.random);
  }

  /** Starts all founding replicas and waits for a leader. */
  async startAll(): Promise<ISimulatedReplica> {
    for (const id of this.foundingIds) {
      await this.start(id);
    }
    return this.waitForLeader();
  }

  /**
   * Starts a replica on its existing disk, or on a new one if it has none. `isFirstStart` tells it whether a group may
   * exist already.
   */
  async start(
    id: string,
    founding = this.foundingIds,
    isFirstStart?: boolean,
  ): Promise<ISimulatedReplica> {
    const clock = new freezableClock.FreezableClock(this.clock);
    const disk = this.disks.get(id) ?? this.createDisk();
    disk.clock = clock;
    this.disks.set(id, disk);
    const state = new registerStateMachine.RegisterStateMachine((index, text) =>
      this.checkApplied(id, index, text),
    );
    const members = founding.map((each) => ({ id: each, address: each }));
    const firstStart = isFirstStart === undefined ? {} : { isFirstStart };
    const opening = replica.Replica.open(
      { id, dataDir: DATA_DIR, members, ...firstStart, tuning: this.tuning },
      {
        clock,
        random: this.random,
        logService: this.logService,
        stateMachine: state,
        transport: this.network.connect(id, clock),
        disk: this.waitsForDiskSpace
          ? new retryOnFullDisk.RetryOnFullDisk(disk, clock, this.logService)
          : disk,
      },
    );
    const log = await this.advanceUntilSettled(opening);
    log.onLeadership((leads) => {
      if (leads) {
        this.checkLeader(log.status().term, id);
      }
    });
    const started = { id, log, clock, state };
    this.running.set(id, started);
    return started;
  }

  /** Crashes a replica; `mode` determines which unsynced data its disk keeps. */
  crash(id: string, mode: memoryDisk.CrashMode = 'lose'): void {
    this.running.get(id)?.log.dispose();
    this.running.delete(id);
    this.disks.set(id, (this.disks.get(id) as memoryDisk.MemoryDisk).crash(mode));
  }

  /** Deletes the disk of a replica that is down. */
  loseDisk(id: string): void {
    this.disks.delete(id);
  }

  /** Advances the clock until the promise settles; throws after `limit` milliseconds of simulated time. */
  async advanceUntilSettled<T>(promise: Promise<T>, limit = 20_000): Promise<T> {
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
        throw new Error('promise did not settle within the limit of simulated time');
      }
      await this.clock.advance(5);
    }
    return promise;
  }

  /** Returns the running leader with the highest term; undefined when there is none. */
  leader(): ISimulatedReplica | undefined {
    return [...this.running.values()]
      .filter(({ log }) => log.status().role === 'leader')
      .sort((a, b) => b.log.status().term - a.log.status().term)[0];
  }

  /** Advances the clock until a quorum confirms a leader; throws after `limit` milliseconds of simulated time. */
  async waitForLeader(limit = 20_000): Promise<ISimulatedReplica> {
    const end = this.clock.now() + limit;
    while (this.clock.now() < end) {
      const leader = this.leader();
      if (leader !== undefined && (await this.confirmsLeadership(leader))) {
        return leader;
      }
      await this.clock.advance(20);
    }
    throw new Error('no leader');
  }

  /** Writes a register through the leader and returns its previous value. */
  async write(key: string, value: string): Promise<string> {
    const { log } = await this.waitForLeader();
    const result = await this.advanceUntilSettled(
      log.propose(registerStateMachine.encodeWrite(key, value)),
    );
    return Buffer.from(result).toString();
  }

  /** Retries a write until it is acknowledged; each attempt appends its number to `value`. */
  async writeRetrying(key: string, value: string): Promise<void> {
    for (let attempt = 1; attempt <= MAX_WRITE_ATTEMPTS; attempt++) {
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

  /** Advances the clock until all running replicas have applied the same index. */
  async converge(): Promise<void> {
    await this.waitForLeader();
    for (let turn = 0; turn < 400; turn++) {
      const indices = [...this.running.values()].map(({ log }) => log.status().appliedIndex);
      if (new Set(indices).size === 1) {
        return;
      }
      await this.clock.advance(20);
    }
    throw new Error('replicas did not converge on one applied index');
  }

  /** Disposes all running replicas. */
  dispose(): void {
    this.running.forEach(({ log }) => log.dispose());
  }

  private createDisk(): memoryDisk.MemoryDisk {
    return new memoryDisk.MemoryDisk(this.clock, this.random, this.maxSyncMs);
  }

  private async confirmsLeadership(leader: ISimulatedReplica): Promise<boolean> {
    try {
      await this.advanceUntilSettled(leader.log.readBarrier());
      return true;
    } catch {
      return false;
    }
  }

  private checkLeader(term: number, id: string): void {
    const other = this.leaderByTerm.get(term);
    if (other !== undefined && other !== id) {
      this.violations.push(`two leaders in term ${term}: ${other} and ${id}`);
    }
    this.leaderByTerm.set(term, id);
  }

  private checkApplied(id: string, index: number, text: string): void {
    const other = this.committed.get(index);
    if (other !== undefined && other !== text) {
      this.violations.push(`${id} applied ${text} at index ${index}, another replica ${other}`);
    }
    this.committed.set(index, text);
  }
}
