import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';
import type * as commonTypes from '../../common/Types.js';
import * as controlClient from '../client/ControlClient.js';

const ROOT = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '../../..');
const CONTROL_PROGRAM = path.join(ROOT.replace(/\/dist$/, ''), 'dist/src/control/main.js');
const START_TIMEOUT_MS = 20_000;

/** A control process started by a test; `child` is undefined before its first start. */
export interface IControlMember {
  readonly id: string;
  readonly address: string;
  readonly config: string;
  child: childProcess.ChildProcess | undefined;
}

/** A group of real control processes on loopback, for tests that kill or stop its members. */
export class ControlGroup implements commonTypes.IDisposable {
  readonly members: IControlMember[] = [];

  private readonly folder = fs.mkdtempSync(path.join(os.tmpdir(), 'anvildeck-control-'));

  private constructor(private readonly clock: commonTypes.IClock) {}

  /** Starts `count` processes and resolves once they have elected a leader. */
  static async start(count: number, clock: commonTypes.IClock): Promise<ControlGroup> {
    const group = new ControlGroup(clock);
    const ports = await freePorts(count);
    const peers = ports.map((port, at) => ({ id: `c${at + 1}`, address: `127.0.0.1:${port}` }));
    peers.forEach((peer) => group.members.push(group.writeSettings(peer, peers)));
    group.members.forEach((member) => group.startMember(member));
    await group.leader();
    return group;
  }

  /** `ip:port` of all members. */
  get addresses(): readonly string[] {
    return this.members.map(({ address }) => address);
  }

  /** Starts a member, or restarts it with its previous data folder. */
  startMember(member: IControlMember): void {
    const log = fs.openSync(path.join(this.folder, `${member.id}.log`), 'a');
    const args = [CONTROL_PROGRAM, '--config', member.config];
    const child = childProcess.spawn(process.execPath, args, { stdio: ['ignore', log, log] });
    fs.closeSync(log);
    Object.assign(member, { child });
  }

  /** Sends a signal to a member; for SIGKILL and SIGTERM, resolves when the process has exited. */
  async signal(member: IControlMember, signal: NodeJS.Signals): Promise<void> {
    const { child } = member;
    if (child === undefined || child.exitCode !== null || child.signalCode !== null) {
      return;
    }
    child.kill(signal);
    if (signal === 'SIGKILL' || signal === 'SIGTERM') {
      await new Promise((resolve) => {
        child.once('exit', resolve);
      });
    }
  }

  /** Resolves with the member that a quorum accepts as leader; rejects with the logs after START_TIMEOUT_MS. */
  async leader(): Promise<IControlMember> {
    const deadline = this.clock.monotonic() + START_TIMEOUT_MS;
    while (this.clock.monotonic() < deadline) {
      for (const member of this.members) {
        if (await this.isLeader(member)) {
          return member;
        }
      }
      await this.clock.sleep(50);
    }
    throw new Error(`no leader elected in time:\n${this.logs()}`);
  }

  /** Returns the combined log output of all members. */
  logs(): string {
    return this.members
      .map(({ id }) => fs.readFileSync(path.join(this.folder, `${id}.log`), 'utf8'))
      .join('\n');
  }

  /** @inheritdoc */
  dispose(): void {
    this.members.forEach(({ child }) => child?.kill('SIGKILL'));
    fs.rmSync(this.folder, { recursive: true, force: true, maxRetries: 5, retryDelay: 50 });
  }

  private async isLeader(member: IControlMember): Promise<boolean> {
    const client = new controlClient.ControlClient({ addresses: [member.address] }, this.clock);
    try {
      await client.query({ history: { limit: 1 } }, { timeout: 300 });
      return true;
    } catch {
      return false;
    } finally {
      client.dispose();
    }
  }

  private writeSettings(
    peer: { readonly id: string; readonly address: string },
    peers: readonly { readonly id: string; readonly address: string }[],
  ): IControlMember {
    const config = path.join(this.folder, `${peer.id}.toml`);
    const lines = [
      `id = "${peer.id}"`,
      `listen = "${peer.address}"`,
      `data_dir = "${path.join(this.folder, `data-${peer.id}`)}"`,
      ...peers.map(({ id, address }) => `[[peers]]\nid = "${id}"\naddress = "${address}"`),
    ];
    fs.writeFileSync(config, `${lines.join('\n')}\n`);
    return { ...peer, config, child: undefined };
  }
}

/** Returns ports that were free when checked; another process may have taken one since. */
async function freePorts(count: number): Promise<readonly number[]> {
  const servers = await Promise.all(
    Array.from(
      { length: count },
      () =>
        new Promise<net.Server>((resolve) => {
          const server = net.createServer();
          server.listen(0, '127.0.0.1', () => resolve(server));
        }),
    ),
  );
  const ports = servers.map((server) => (server.address() as net.AddressInfo).port);
  await Promise.all(
    servers.map(
      (server) =>
        new Promise((resolve) => {
          server.close(resolve);
        }),
    ),
  );
  return ports;
}
