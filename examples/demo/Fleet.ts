import * as fs from 'node:fs';
import * as os from 'node:os';
import * as path from 'node:path';
import * as toml from 'smol-toml';
import * as declare from 'anvildeck/declare';
import * as addressing from '../Addresses.js';
import * as ports from './Ports.js';
import * as processes from './Process.js';
import type * as types from './Types.js';

const CONTROLS = 3;
const ENTRIES = 3;
const POLL_MS = 50;
const START_TIMEOUT_MS = 30_000;
const ENTRY_SCRIPT = 'src/entry/main.js';
const REPORT_POLL_MS = 500;
const HOST = '127.0.0.1';
const FIRST_PORT = 9100;
const PLATFORM_LIST = 'platform-list';

/** Called as the start goes on: a step's name, how many are done, of how many. */
export type Progress = (step: string, done: number, total: number) => void;

/** A whole deployment as processes on loopback, with its files in a folder of its own. */
export class Fleet {
  /** Base URLs of the entries, once started. */
  readonly entryUrls: string[] = [];

  /** Addresses of the control processes, once started. */
  controlAddresses: readonly string[] = [];

  /** Addresses of the stand-ins by pool, once started. */
  addresses: addressing.Addresses = {};

  /** Folder of settings, data and logs. */
  readonly folder: string;

  private platformAddress = '';

  private readonly running: processes.Process[] = [];

  private readonly log: fs.WriteStream;

  /** Binaries come from the compiled tree below `dist`. */
  constructor(
    private readonly deployment: types.IDemoDeployment,
    private readonly dist: string,
    private readonly progress: Progress,
  ) {
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), `anvildeck-${deployment.name}-`));
    this.log = fs.createWriteStream(path.join(this.folder, 'processes.log'));
  }

  /** Starts stand-ins, control processes and entries, and applies the declaration. */
  async start(): Promise<void> {
    this.addresses = await this.startStandins();
    await this.startControls();
    await this.apply();
    await this.startEntries();
  }

  /** Runs one command of anvildeckctl; resolves with its output, rejects when it fails. */
  async ctl(args: readonly string[]): Promise<readonly string[]> {
    const errors: string[] = [];
    const script = path.join(this.dist, 'src/ctl/main.js');
    const all = ['--control', this.controlAddresses.join(','), ...args];
    const command = new processes.Process('ctl', script, all, (line) => errors.push(line));
    const code = await command.wait();
    if (code !== 0) {
      throw new Error(`anvildeckctl ${args.join(' ')} ended with ${code}: ${errors.join('; ')}`);
    }
    return command.lines;
  }

  /** Today's report, once the accounts of so many requests have arrived. */
  async report(requests: number): Promise<types.IDemoReport> {
    const end = Date.now() + START_TIMEOUT_MS;
    for (;;) {
      const lines = await this.ctl(['report', '--format', 'json']);
      const report = JSON.parse(lines.join('\n')) as types.IDemoReport;
      const counted = report.kinds.reduce((sum, kind) => sum + kind.requests, 0);
      if (counted >= requests || Date.now() > end) {
        return report;
      }
      await sleep(REPORT_POLL_MS);
    }
  }

  /** Kills one process without warning. */
  async kill(name: string): Promise<void> {
    const index = this.running.findIndex((child) => child.name === name);
    const [child] = this.running.splice(index, index < 0 ? 0 : 1);
    await child?.kill();
  }

  /** Starts an entry again with the settings that it had. */
  restartEntry(name: string): void {
    this.spawn(name, ENTRY_SCRIPT, path.join(this.folder, `${name}.toml`));
  }

  /** Stops all processes, entries first, since they hand over to the control group. */
  async stop(): Promise<void> {
    const entries = this.running.filter((child) => child.name.startsWith('entry-'));
    await Promise.all(entries.map((child) => child.stop()));
    await Promise.all(this.running.map((child) => child.stop()));
    this.log.end();
  }

  private async startStandins(): Promise<addressing.Addresses> {
    const { poolSizes } = this.deployment;
    // Endpoints are known to the platform's list by their names, so that the stand-ins bear the declared ones.
    const { pools } = this.deployment.declaration(addressing.loopback(poolSizes, FIRST_PORT));
    const standins = pools.flatMap((pool) =>
      pool.endpoints.map((endpoint) => ({ name: endpoint.name, kind: this.kindOf(pool.name) })),
    );
    const all = [...standins, { name: PLATFORM_LIST, kind: 'platform' }];
    const file = this.write('standins.toml', { standins: all });
    const child = this.spawn('standins', 'src/standin/main.js', file);
    const listening = await this.waitFor('stand-ins', all.length, child, () =>
      child.lines.filter((line) => line.startsWith('listening ')),
    );
    const found = new Map(listening.map(parseListening));
    this.platformAddress = found.get(PLATFORM_LIST) ?? '';
    return Object.fromEntries(
      pools.map((pool) => [
        pool.name,
        pool.endpoints.map((endpoint) => found.get(endpoint.name) ?? ''),
      ]),
    );
  }

  private kindOf(pool: string): string {
    const { engines, stages } = this.deployment;
    if (engines.includes(pool)) {
      return 'engine';
    }
    return stages.includes(pool) ? 'stages' : 'service';
  }

  private async startControls(): Promise<void> {
    const free = await ports.freePorts(CONTROLS);
    const peers = free.map((port, index) => ({
      id: `control-${index + 1}`,
      address: `${HOST}:${port}`,
    }));
    this.controlAddresses = peers.map((peer) => peer.address);
    peers.forEach((peer) => {
      const file = this.write(`${peer.id}.toml`, {
        id: peer.id,
        listen: peer.address,
        peers,
        data_dir: path.join(this.folder, peer.id),
      });
      this.spawn(peer.id, 'src/control/main.js', file);
    });
    this.progress('control processes', CONTROLS, CONTROLS);
  }

  private async apply(): Promise<void> {
    const file = path.join(this.folder, `${this.deployment.name}.toml`);
    fs.writeFileSync(file, declare.render(this.deployment.declaration(this.addresses)));
    await this.ctl(['apply', file]);
    this.progress('declaration applied', 1, 1);
  }

  private async startEntries(): Promise<void> {
    const free = await ports.freePorts(ENTRIES * 2);
    const peerAddresses = free.slice(ENTRIES).map((port) => `${HOST}:${port}`);
    free.slice(0, ENTRIES).forEach((port, index) => {
      const name = `entry-${index + 1}`;
      const zone = this.deployment.zones[index % this.deployment.zones.length];
      const file = this.write(`${name}.toml`, {
        name,
        zone,
        listen: `${HOST}:${port}`,
        control: this.controlAddresses,
        platform_list: this.platformAddress,
        peer_listen: peerAddresses[index],
        peers: peerAddresses.filter((unused, at) => at !== index),
      });
      this.spawn(name, ENTRY_SCRIPT, file);
      this.entryUrls.push(`http://${HOST}:${port}`);
    });
    await this.waitForReady();
  }

  private async waitForReady(): Promise<void> {
    const end = Date.now() + START_TIMEOUT_MS;
    for (;;) {
      const ready = await Promise.all(this.entryUrls.map(isReady));
      const done = ready.filter(Boolean).length;
      this.progress('entries ready', done, ENTRIES);
      if (done === ENTRIES) {
        return;
      }
      this.checkRunning(end);
      await sleep(POLL_MS);
    }
  }

  private async waitFor(
    step: string,
    total: number,
    child: processes.Process,
    read: () => readonly string[],
  ): Promise<readonly string[]> {
    const end = Date.now() + START_TIMEOUT_MS;
    for (;;) {
      const lines = read();
      this.progress(step, Math.min(lines.length, total), total);
      if (lines.length >= total) {
        return lines;
      }
      this.checkRunning(end);
      await sleep(POLL_MS);
    }
  }

  private checkRunning(end: number): void {
    const dead = this.running.find((child) => child.ended);
    if (dead || Date.now() > end) {
      const what = dead ? `${dead.name} ended` : 'not ready in time';
      throw new Error(`${what}; see ${path.join(this.folder, 'processes.log')}`);
    }
  }

  private spawn(name: string, script: string, file: string): processes.Process {
    const child = new processes.Process(
      name,
      path.join(this.dist, script),
      ['--config', file],
      (line) => this.log.write(`${name}: ${line}\n`),
    );
    this.running.push(child);
    return child;
  }

  private write(name: string, content: Record<string, unknown>): string {
    const file = path.join(this.folder, name);
    fs.writeFileSync(file, toml.stringify(content));
    return file;
  }
}

function parseListening(line: string): readonly [string, string] {
  const match = /^listening name=(\S+) address=(\S+)$/.exec(line);
  return [match?.[1] ?? '', match?.[2] ?? ''];
}

async function isReady(url: string): Promise<boolean> {
  try {
    return (await fetch(`${url}/readyz`)).ok;
  } catch {
    return false;
  }
}

function sleep(millis: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, millis);
  });
}
