import * as fs from 'node:fs/promises';
import * as os from 'node:os';
import * as path from 'node:path';
import * as grpc from '@grpc/grpc-js';
import * as seededRandom from '../../src/common/SeededRandom.js';
import * as systemClock from '../../src/common/SystemClock.js';
import * as recordingLog from '../../src/common/testing/RecordingLogService.js';
import * as grpcPeerTransport from '../../src/control/replication/GrpcPeerTransport.js';
import * as replica from '../../src/control/replication/Replica.js';
import * as registerStateMachine from '../../src/control/replication/testing/RegisterStateMachine.js';
import type * as controlTypes from '../../src/control/Types.js';
import * as countingDisk from './CountingDisk.js';

const LEADER_POLL_MS = 10;

interface IServed {
  readonly server: grpc.Server;
  readonly transport: grpcPeerTransport.GrpcPeerTransport;
  readonly member: controlTypes.IFoundingMember;
}

/** Replicas in this process, on the real disk, that talk over gRPC on loopback. */
export class LoopbackGroup {
  /** The disk that all replicas use, each with its own folder. */
  readonly disk = new countingDisk.CountingDisk();

  /** Running replicas. */
  readonly replicas: replica.Replica[] = [];

  private readonly clock = new systemClock.SystemClock();

  private readonly random = new seededRandom.SeededRandom(1);

  private readonly served: IServed[] = [];

  private constructor(private readonly folder: string) {}

  /** Founds a group of `count` replicas in a new folder. */
  static async found(count: number): Promise<LoopbackGroup> {
    const folder = await fs.mkdtemp(path.join(os.tmpdir(), 'anvildeck-bench-'));
    const group = new LoopbackGroup(folder);
    for (let number = 1; number <= count; number++) {
      group.served.push(await group.serve(`c${number}`));
    }
    await group.open();
    return group;
  }

  /** Opens all replicas on their folders. */
  async open(): Promise<void> {
    const members = this.served.map(({ member }) => member);
    for (const { member, transport } of this.served) {
      const options = { id: member.id, dataDir: path.join(this.folder, member.id), members };
      const needs = {
        clock: this.clock,
        random: this.random,
        logService: new recordingLog.RecordingLogService(),
        stateMachine: new registerStateMachine.RegisterStateMachine(),
        transport,
        disk: this.disk,
      };
      this.replicas.push(await replica.Replica.open(options, needs));
    }
  }

  /** Closes all replicas, as a crash would: nothing is written at the end. */
  async closeReplicas(): Promise<void> {
    this.replicas.splice(0).forEach((each) => each.dispose());
    await this.clock.sleep(LEADER_POLL_MS);
  }

  /** Waits for the leader. */
  async leader(): Promise<replica.Replica> {
    for (;;) {
      const leader = this.replicas.find((each) => each.status().role === 'leader');
      if (leader !== undefined) {
        await leader.readBarrier();
        return leader;
      }
      await this.clock.sleep(LEADER_POLL_MS);
    }
  }

  /** Stops everything and removes the folder. */
  async close(): Promise<void> {
    await this.closeReplicas();
    this.served.forEach(({ server, transport }) => {
      transport.dispose();
      server.forceShutdown();
    });
    await fs.rm(this.folder, { recursive: true, force: true });
  }

  private async serve(id: string): Promise<IServed> {
    const server = new grpc.Server(grpcPeerTransport.SERVER_OPTIONS);
    const credentials = grpc.credentials.createInsecure();
    const transport = new grpcPeerTransport.GrpcPeerTransport(server, credentials, this.clock);
    const port = await new Promise<number>((resolve, reject) => {
      server.bindAsync('127.0.0.1:0', grpc.ServerCredentials.createInsecure(), (err, bound) => {
        if (err === null) {
          resolve(bound);
        } else {
          reject(err);
        }
      });
    });
    return { server, transport, member: { id, address: `127.0.0.1:${port}` } };
  }
}
