/* global Buffer, clearTimeout, performance, process, setTimeout */
/* eslint-disable no-await-in-loop, no-restricted-syntax, no-plusplus -- as for TypeScript files */
/** A small deployment on loopback addresses: the programs of the deploy file, raw replicas, a replica list and callers. */
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as url from 'node:url';
// eslint-disable-next-line import-x/extensions -- Node needs the extension
import * as messageParser from './MessageParser.mjs';

const ROOT = path.resolve(path.dirname(url.fileURLToPath(import.meta.url)), '..', '..');
const PORTS = { internal: 17_740, control: 17_628, front: 17_625, ready: 17_621 };
const POLL_MS = 50;
const READY_TIMEOUT_MS = 20_000;
const CRLF = '\r\n';

export const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Returns the words of the `run` line of a role in the deploy file. */
function commandOf(role) {
  const text = fs.readFileSync(path.join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const section = text.split(`[roles.anvildeck-${role}]`)[1];
  return /^run = "([^"]+)"/m.exec(section)[1].split(' ');
}

/** Runs one small deployment and writes what happens to `record.txt`. */
export class Fleet {
  constructor(folder) {
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
    this.recordFile = path.join(folder, 'record.txt');
    fs.writeFileSync(this.recordFile, '');
    this.net = `127.${40 + (process.pid % 150)}.${Math.floor(process.pid / 150) % 250}`;
    this.children = new Map();
    this.servers = [];
    this.instances = [];
    this.isStopping = false;
    this.onEnd = () => {};
    this.startedAt = performance.now();
  }

  /** Returns a loopback address of this run. */
  ip(number) {
    return `${this.net}.${number}`;
  }

  record(text) {
    const at = ((performance.now() - this.startedAt) / 1000).toFixed(3);
    fs.appendFileSync(this.recordFile, `${at} ${text}\n`);
  }

  /** Starts a TCP server at a free port; resolves with its `ip:port`. */
  listen(onSocket, ip = this.ip(200)) {
    return new Promise((resolve) => {
      const server = net.createServer((socket) => {
        socket.on('error', () => {});
        socket.setNoDelay(true);
        onSocket(socket);
      });
      this.servers.push(server);
      server.listen({ host: ip, port: 0 }, () => resolve(`${ip}:${server.address().port}`));
    });
  }

  async startList() {
    this.listAddress = await this.listen((socket) => {
      const parser = new messageParser.MessageParser(() => {
        const text = JSON.stringify({ instances: this.instances, next: null });
        socket.write(
          `HTTP/1.1 200 OK${CRLF}Content-Type: application/json${CRLF}` +
            `Content-Length: ${Buffer.byteLength(text)}${CRLF}${CRLF}${text}`,
        );
      });
      socket.on('data', (chunk) => parser.push(chunk));
    });
  }

  /** Starts a replica that answers with `respond(socket, request)` and lists it. */
  async addReplica(id, service, respond, zone = 'a', slots = 8) {
    const address = await this.listen((socket) => {
      const parser = new messageParser.MessageParser((message) => {
        const [method, target] = message.start.split(' ');
        respond(socket, { method, target, ...message });
      });
      socket.on('data', (chunk) => parser.push(chunk));
    });
    this.instances.push({
      id,
      service,
      address,
      zone,
      version: 'v1',
      slots,
      state: 'ready',
      coldLeftMs: 0,
    });
    return address;
  }

  /** Shows a replica as draining in the list. */
  showDraining(id) {
    Object.assign(
      this.instances.find((instance) => instance.id === id),
      { state: 'draining' },
    );
    this.record(`the list shows ${id} as draining`);
  }

  /** Removes a replica from the list. */
  unlist(id) {
    this.instances = this.instances.filter((instance) => instance.id !== id);
  }

  settings(name, ip, { seeds, isFirst, zone, serves }) {
    const bounds = {
      seedLagS: 3,
      reuseAfterS: 2,
      contactMs: 3000,
      ackMs: 4000,
      catchUpS: 4,
      drainMs: 3000,
      graceS: 8,
      lossSlackMs: 200,
      configMs: 2000,
      rollbackSlackMs: 250,
      outerMs: 5000,
      strictRevoke: false,
      revokeMs: 5000,
      retryRatio: 0.2,
      retryWindowS: 10,
      retrySlack: 64,
      recoveryS: 12,
      iterationMs: 120,
      reuseWindowS: 10,
    };
    return [
      `nodeName = "${name}"`,
      `role = "${name.startsWith('entry') ? 'anvildeck-entry' : 'anvildeck-control'}"`,
      'machineClass = "front"',
      `serves = ["${serves}"]`,
      `ip = "${ip}"`,
      `zone = "${zone}"`,
      'region = "r"',
      `portRange = [${PORTS.internal},${PORTS.internal + 15}]`,
      `seeds = [${seeds.map((seed) => `"${seed}:${PORTS.control}"`).join(',')}]`,
      `bootstrap = ${isFirst}`,
      'inTolerance = true',
      ...(serves === 'control' ? [`dataDir = "${path.join(this.folder, name)}"`] : []),
      'discovery = "cloud"',
      'entry = "vip"',
      'heartbeatMs = 1200',
      'contracts = ["base","drain","config","cost","retry","recover","engine","stream","tenants","stages"]',
      'configMode = "highest"',
      '[zones]',
      'a = "r"',
      'b = "r"',
      'c = "r"',
      '[listen]',
      ...(serves === 'front'
        ? [`front = "${ip}:${PORTS.front}"`, `ready = "${ip}:${PORTS.ready}"`]
        : [`control = "${ip}:${PORTS.control}"`]),
      '[limits]',
      'cpuShare = 0.608',
      'cores = 2',
      'memoryMb = 350',
      'maxFds = 4100',
      'linkMbps = 1000.0',
      'diskMb = 64',
      '[faultTolerance]',
      'machines = 1',
      'zones = 0',
      'regions = 0',
      '[bounds]',
      ...Object.entries(bounds).map(([key, value]) => `${key} = ${value}`),
      '[cloud]',
      `address = "${this.listAddress}"`,
      'ratePerS = 47.0',
      'duties = []',
      'lagMs = 800',
      '',
    ].join('\n');
  }

  /** Starts a program of the deploy file; its log goes to the temporary folder. */
  start(role, number, options) {
    const name = `${role}-${number}`;
    const file = path.join(this.folder, `${name}.toml`);
    const serves = role === 'entry' ? 'front' : 'control';
    fs.writeFileSync(file, this.settings(name, this.ip(number), { zone: 'a', ...options, serves }));
    const log = fs.openSync(path.join(this.folder, `${name}.log`), 'a');
    const { PATH, HOME, LANG } = process.env;
    const [program, ...args] = commandOf(role);
    const child = childProcess.spawn(program, args, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, ANVILDECK_BOOT: file },
      stdio: ['ignore', log, log],
    });
    fs.closeSync(log);
    this.children.set(name, child);
    child.once('exit', (code, signal) => {
      this.record(`${name} ended code=${code} signal=${signal}`);
      this.onEnd(role, number, options);
    });
    this.record(`${name} started`);
    return child;
  }

  /** Starts programs again that end by themselves from now on; returns the number of their ends by name. */
  restartEnded(delay) {
    const ends = new Map();
    this.onEnd = (role, number, options) => {
      const name = `${role}-${number}`;
      ends.set(name, (ends.get(name) ?? 0) + 1);
      setTimeout(() => {
        if (!this.isStopping) {
          this.start(role, number, { ...options, isFirst: false });
        }
      }, delay);
    };
    return ends;
  }

  log(name) {
    return fs.readFileSync(path.join(this.folder, `${name}.log`), 'utf8');
  }

  /** Starts `controls` control programs and `entries` entry programs, and puts `configuration` in force. */
  async startAll({ controls = 3, entries = 1, configuration }) {
    this.controls = Array.from({ length: controls }, (_, at) => at + 1);
    this.entries = Array.from({ length: entries }, (_, at) => at + 101);
    const seeds = this.controls.slice(0, 3).map((number) => this.ip(number));
    const zoneOf = (at) => 'abc'[at % 3];
    this.controls.forEach((number, at) =>
      this.start('control', number, { seeds, isFirst: true, zone: zoneOf(at) }),
    );
    this.entries.forEach((number, at) =>
      this.start('entry', number, { seeds, isFirst: true, zone: zoneOf(at) }),
    );
    await this.until('the configuration is acknowledged', async () => {
      const status = await this.putConfiguration(configuration);
      return status === 200;
    });
    for (const number of this.entries) {
      await this.until(`entry-${number} is ready`, () => this.isReady(number));
    }
  }

  async until(what, check, timeout = READY_TIMEOUT_MS) {
    const end = performance.now() + timeout;
    while (performance.now() < end) {
      if (await check().catch(() => false)) {
        this.record(what);
        return;
      }
      await sleep(POLL_MS);
    }
    throw new Error(`not within ${timeout} ms: ${what}`);
  }

  async isReady(number) {
    const { status } = await this.call(`${this.ip(number)}:${PORTS.ready}`, {
      target: '/v1/readyz',
      timeout: 1000,
    });
    return status === 200;
  }

  frontOf(number) {
    return `${this.ip(number)}:${PORTS.front}`;
  }

  /** Sends a configuration to a control program, and follows redirects as operators do. */
  async putConfiguration(configuration) {
    const body = JSON.stringify(configuration);
    let address = `${this.ip(this.controls[0])}:${PORTS.control}`;
    for (let hop = 0; hop < 3; hop++) {
      const answer = await this.call(address, {
        method: 'POST',
        target: '/v1/config/put',
        headers: { 'Content-Type': 'application/json' },
        body,
        timeout: 3000,
      });
      if (answer.status !== 307) {
        return answer.status;
      }
      [, address] = /^http:\/\/([^/]+)/.exec(answer.headers.get('location'));
    }
    return 0;
  }

  /**
   * Sends one request on a new connection. Resolves with status, headers and body; status 0 if the connection ended
   * without a complete answer, or none came within `timeout`.
   */
  // eslint-disable-next-line class-methods-use-this -- part of the fleet for its users
  call(address, { method = 'GET', target, headers = {}, body = '', timeout = 10_000 }) {
    const [host, port] = address.split(':');
    return new Promise((resolve) => {
      const socket = net.connect({ host, port: Number(port) });
      const end = (answer) => {
        socket.destroy();
        resolve(answer);
      };
      const timer = setTimeout(() => end({ status: 0, end: 'timeout' }), timeout);
      const parser = new messageParser.MessageParser((message) => {
        clearTimeout(timer);
        const status = Number(message.start.split(' ')[1]);
        end({ status, headers: message.headers, body: message.body });
      });
      socket.on('data', (chunk) => parser.push(chunk));
      socket.on('error', () => {});
      socket.once('close', () => {
        clearTimeout(timer);
        resolve({ status: 0, end: 'closed' });
      });
      const lines = Object.entries({ Host: address, ...headers }).map(
        ([name, value]) => `${name}: ${value}${CRLF}`,
      );
      const length = method === 'GET' ? '' : `Content-Length: ${Buffer.byteLength(body)}${CRLF}`;
      socket.write(`${method} ${target} HTTP/1.1${CRLF}${lines.join('')}${length}${CRLF}${body}`);
    });
  }

  /** Ends all processes and servers, and removes the temporary folder. */
  async stop() {
    this.isStopping = true;
    this.onEnd = () => {};
    const running = [...this.children.values()].filter(
      (child) => child.exitCode === null && child.signalCode === null,
    );
    const ended = running.map(
      (child) =>
        new Promise((resolve) => {
          child.once('exit', resolve);
        }),
    );
    running.forEach((child) => child.kill('SIGKILL'));
    await Promise.all(ended);
    this.servers.forEach((server) => server.close());
    if (process.env.KEEP_LOGS === undefined) {
      fs.rmSync(this.folder, { recursive: true, force: true });
    } else {
      this.record(`logs in ${path.basename(this.folder)}`);
    }
  }
}

/**
 * Runs a case: `play(fleet, hasTrouble)` resolves with the lines that tell how the rule was broken. Exits with 1 if it
 * was, 0 if it held and 2 if the case could not run.
 */
export async function run(folder, play) {
  const fleet = new Fleet(folder);
  const hasTrouble = process.env.TROUBLE !== '0';
  let code = 2;
  try {
    const broken = await play(fleet, hasTrouble);
    broken.forEach((line) => fleet.record(`BROKEN ${line}`));
    code = broken.length > 0 ? 1 : 0;
    fleet.record(`result: ${broken.length > 0 ? 'the rule was broken' : 'the rule held'}`);
  } catch (err) {
    fleet.record(`could not run: ${err.stack}`);
  }
  await fleet.stop();
  process.exit(code);
}
