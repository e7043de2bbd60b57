import * as linearizability from './Linearizability.js';
import * as registerStateMachine from './RegisterStateMachine.js';
import type * as simulatedGroup from './SimulatedGroup.js';

const MAX_PAUSE_MS = 120;

/** Concurrent clients of a simulated group that record the history of their operations. */
export class SimulatedClients {
  /** Commands of the acknowledged writes, as text, in the order of acknowledgement. */
  readonly acknowledgedCommands: string[] = [];

  /** Recorded operations by register. */
  readonly histories = new Map<string, linearizability.IOperation[]>();

  private position = 0;

  private writeCount = 0;

  private isStopped = false;

  /** Creates clients that use `keyCount` registers of `group`. */
  constructor(
    private readonly group: simulatedGroup.SimulatedGroup,
    private readonly keyCount: number,
  ) {}

  /** Starts `count` clients that perform `operations` operations each. */
  start(count: number, operations: number): void {
    for (let client = 0; client < count; client++) {
      void this.runClient(operations);
    }
  }

  /** Stops all clients after their current operation. */
  stop(): void {
    this.isStopped = true;
  }

  private async runClient(operations: number): Promise<void> {
    const { clock, random } = this.group;
    let done = 0;
    while (done < operations && !this.isStopped) {
      await clock.sleep(random.nextInt(MAX_PAUSE_MS));
      const target = this.pickLeader();
      // A turn without a leader does not count, otherwise a client could finish before the group recovers.
      if (target !== undefined && !this.isStopped) {
        done += 1;
        const key = `k${random.nextInt(this.keyCount)}`;
        await (random.nextInt(3) === 0 ? this.read(target, key) : this.write(target, key));
      }
    }
  }

  /** Returns a random replica whose role is leader, including deposed leaders that have not noticed yet. */
  private pickLeader(): simulatedGroup.ISimulatedReplica | undefined {
    const leaders = [...this.group.running.values()].filter(
      ({ log }) => log.status().role === 'leader',
    );
    return leaders[this.group.random.nextInt(Math.max(1, leaders.length))];
  }

  private async write(target: simulatedGroup.ISimulatedReplica, key: string): Promise<void> {
    this.writeCount += 1;
    const value = `v${this.writeCount}`;
    const start = this.nextPosition();
    try {
      const result = await target.log.propose(registerStateMachine.encodeWrite(key, value));
      const previous = Buffer.from(result).toString();
      this.record(key, { kind: 'write', start, end: this.nextPosition(), value, previous });
      this.acknowledgedCommands.push(
        registerStateMachine.decodeText(registerStateMachine.encodeWrite(key, value)),
      );
    } catch (err) {
      if ((err as Error).name === 'CommitUnknownError') {
        this.record(key, { kind: 'write', start, end: Infinity, value });
      }
    }
  }

  private async read(target: simulatedGroup.ISimulatedReplica, key: string): Promise<void> {
    const start = this.nextPosition();
    try {
      await target.log.readBarrier();
      const value = target.state.get(key) ?? '';
      this.record(key, { kind: 'read', start, end: this.nextPosition(), value });
    } catch {
      // A failed read puts no constraint on the history.
    }
  }

  private record(key: string, operation: linearizability.IOperation): void {
    const history = this.histories.get(key) ?? [];
    history.push(operation);
    this.histories.set(key, history);
  }

  private nextPosition(): number {
    this.position += 1;
    return this.position;
  }
}
