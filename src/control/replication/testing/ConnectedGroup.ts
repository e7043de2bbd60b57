import * as grpc from '@grpc/grpc-js';
import * as vitest from 'vitest';
import type * as commonTypes from '../../../common/Types.js';
import * as seededRandom from '../../../common/SeededRandom.js';
import * as systemClock from '../../../common/SystemClock.js';
import * as recordingLog from '../../../common/testing/RecordingLogService.js';
import * as silencingProxy from '../../../common/testing/SilencingProxy.js';
import * as memoryDisk from '../../log/testing/MemoryDisk.js';
import type * as controlTypes from '../../Types.js';
import * as grpcPeerTransport from '../GrpcPeerTransport.js';
import * as replica from '../Replica.js';
import * as registerStateMachine from './RegisterStateMachine.js';

const { expect, vi } = vitest;

const TUNING = { heartbeatMs: 80, electionTimeoutMs: 420, diskReserveBytes: 1 };
const MAX_SYNC_MS = 1;
/** Log events that the error of a write shows. */
const SHOWN_EVENTS = 60;
const WAIT = { timeout: 20_000, interval: 20 };

/** A member of the group; `run` is undefined while its replica is stopped. */
export interface IConnectedMember {
  readonly id: string;
  /** Carries the connections to this member; its address is that of the member. */
  readonly proxy: silencingProxy.SilencingProxy;
  disk: memoryDisk.MemoryDisk;
  run: { readonly log: replica.Replica; stop(): void } | undefined;
}

/** Replicas over real connections; each is reached through a proxy that can silence the connections to it. */
export class ConnectedGroup implements commonTypes.IDisposable {
  private readonly clock = new systemClock.SystemClock();

  private readonly logService = new recordingLog.RecordingLogService();

  private readonly random: seededRandom.SeededRandom;

  private founders: readonly controlTypes.IFoundingMember[] = [];

  /** All members, stopped ones included. */
  members: readonly IConnectedMember[] = [];

  /** Draws from `seed`; the group is started by `start`. */
  constructor(seed: number) {
    this.random = new seededRandom.SeededRandom(seed);
  }

  /** Starts `size` replicas and resolves when a write is acknowledged. */
  async start(size: number): Promise<void> {
    const proxies = Array.from({ length: size }, () => new silencingProxy.SilencingProxy());
    const addresses = await Promise.all(proxies.map((proxy) => proxy.listen()));
    this.founders = addresses.map((address) => ({ id: address, address }));
    this.members = proxies.map((proxy, at) => ({
      id: addresses[at] as string,
      proxy,
      disk: new memoryDisk.MemoryDisk(this.clock, this.random, MAX_SYNC_MS),
      run: undefined,
    }));
    await Promise.all(this.members.map((member) => this.startMember(member)));
    await this.write('started');
  }

  /** The member that leads, as far as it knows. */
  leader(): IConnectedMember | undefined {
    return this.members.find(({ run }) => run?.log.status().role === 'leader');
  }

  /** Writes a register at whoever leads, until it is acknowledged; rejects with the last log events. */
  async write(value: string): Promise<void> {
    try {
      await vi.waitFor(async () => {
        const current = this.leader()?.run;
        expect(current).toBeDefined();
        await current?.log.propose(registerStateMachine.encodeWrite('r', value));
      }, WAIT);
    } catch (err) {
      const events = this.logService.events
        .slice(-SHOWN_EVENTS)
        .map((event) => JSON.stringify(event));
      throw new Error(`${value}: ${(err as Error).message}\n${events.join('\n')}`);
    }
  }

  /** Stops a replica; its connections are reset, and its disk loses what was not synced. */
  stopMember(member: IConnectedMember): void {
    member.run?.stop();
    Object.assign(member, { run: undefined, disk: member.disk.crash() });
  }

  /** Starts the replica of a member on its disk. */
  async startMember(member: IConnectedMember): Promise<void> {
    const server = new grpc.Server(grpcPeerTransport.SERVER_OPTIONS);
    const credentials = grpc.credentials.createInsecure();
    const transport = new grpcPeerTransport.GrpcPeerTransport(server, credentials, this.clock);
    const log = await replica.Replica.open(
      { id: member.id, dataDir: '/data', members: this.founders, tuning: TUNING },
      {
        clock: this.clock,
        random: this.random,
        logService: this.logService,
        stateMachine: new registerStateMachine.RegisterStateMachine(() => {}),
        transport,
        disk: member.disk,
      },
    );
    const port = await new Promise<number>((resolve, reject) => {
      server.bindAsync('127.0.0.1:0', grpc.ServerCredentials.createInsecure(), (err, bound) =>
        err === null ? resolve(bound) : reject(err),
      );
    });
    Object.assign(member.proxy, { target: `127.0.0.1:${port}` });
    const stop = (): void => {
      log.dispose();
      transport.dispose();
      server.forceShutdown();
    };
    Object.assign(member, { run: { log, stop } });
  }

  /** @inheritdoc */
  dispose(): void {
    this.members.forEach(({ run, proxy }) => {
      run?.stop();
      proxy.dispose();
    });
  }
}
