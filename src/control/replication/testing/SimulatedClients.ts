import * as linearizability from './Linearizability.js';
import * as registerStateMachine from './RegisterStateMachine.js';
import type * as simulatedGroup from './SimulatedGroup.js';

const MAX_PAUSE_MS = 120;

/** Concurrent clients of a simulated group, and the history of what they saw. */
export class SimulatedClients {
  /** Values of acknowledged writes by key, in the order of their answers. */
  readonly acknowledged: string[] = [];

  /** Operations by key. */
  readonly histories = new Map<string, linearizability.IOperation[]>();

  private position = 0;

  private written = 0;

  private stopped = false;

  /** Clients that use `keys` registers of `group`. */
  constructor(
    private readonly group: simulatedGroup.SimulatedGroup,
    private readonly keys: number,
  ) {}

  /** Starts `count` clients of `operations` operations each. */
  start(count: number, operations: number): void {
    for (let client = 0; client < count; client++) {
      void this.run(operations);
    }
  }

  /** Ends all clients. */
  stop(): void {
    this.stopped = true;
  }

  private async run(operations: number): Promise<void> {
    const { clock, random } = this.group;
    let done = 0;
    while (done < operations && !this.stopped) {
      await clock.sleep(random.nextInt(MAX_PAUSE_MS));
      const target = this.pickLeader();
      // A turn without a leader is no operation: else a client would be done before the group is back.
      if (target !== undefined && !this.stopped) {
        done += 1;
        const key = `k${random.nextInt(this.keys)}`;
        await (random.nextInt(3) === 0 ? this.read(target, key) : this.write(target, key));
      }
    }
  }

  /** Any replica that believes it leads, deposed ones included. */
  private pickLeader(): simulatedGroup.ISimulatedReplica | undefined {
    const leaders = [...this.group.running.values()].filter(
      ({ log }) => log.status().role === 'leader',
    );
    return leaders[this.group.random.nextInt(Math.max(1, leaders.length))];
  }

  private async write(target: simulatedGroup.ISimulatedReplica, key: string): Promise<void> {
    this.written += 1;
    const value = `v${this.written}`;
    const start = this.tick();
    try {
      const result = await target.log.propose(registerStateMachine.encodeWrite(key, value));
      const previous = Buffer.from(result).toString();
      this.record(key, { kind: 'write', start, end: this.tick(), value, previous });
      this.acknowledged.push(
        registerStateMachine.decodeText(registerStateMachine.encodeWrite(key, value)),
      );
    } catch (err) {
      if ((err as Error).name === 'CommitUnknownError') {
        this.record(key, { kind: 'write', start, end: Infinity, value });
      }
    }
  }

  private async read(target: simulatedGroup.ISimulatedReplica, key: string): Promise<void> {
    const start = this.tick();
    try {
      await target.log.readBarrier();
      const value = target.state.get(key) ?? '';
      this.record(key, { kind: 'read', start, end: this.tick(), value });
    } catch {
      // A read that failed tells nothing.
    }
  }

  private record(key: string, operation: linearizability.IOperation): void {
    const history = this.histories.get(key) ?? [];
    history.push(operation);
    this.histories.set(key, history);
  }

  private tick(): number {
    this.position += 1;
    return this.position;
  }
}
