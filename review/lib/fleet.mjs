/* global Buffer, URL, performance */
/* eslint-disable import-x/extensions, no-await-in-loop, no-plusplus */
// Starts the project's bundled programs as a small deployment on loopback addresses, with the commands of the deploy
// file, and stand-ins for the platform's list of replicas and for a plain service.
import * as childProcess from 'node:child_process';
import * as fs from 'node:fs';
import * as http from 'node:http';
import * as net from 'node:net';
import * as os from 'node:os';
import * as path from 'node:path';
import * as process from 'node:process';
import * as timersPromises from 'node:timers/promises';
import * as url from 'node:url';
import * as records from './record.mjs';

const ROOT = path.dirname(path.dirname(path.dirname(url.fileURLToPath(import.meta.url))));
const CALL_TIMEOUT_MS = 3000;
const MAX_REDIRECTS = 2;
const POLL_MS = 50;

/** Resolves after `ms` milliseconds. */
export function sleep(ms) {
  return timersPromises.setTimeout(ms);
}

/** Resolves once `check` resolves with a value that is true; rejects after `limitMs`. */
export async function until(what, limitMs, check) {
  const end = performance.now() + limitMs;
  for (;;) {
    if (await check()) {
      return;
    }
    if (performance.now() > end) {
      throw new Error(`${what}: not within ${limitMs} ms`);
    }
    await sleep(POLL_MS);
  }
}

/** Makes one HTTP call on a connection of its own; the body of the answer is a Buffer. */
export function call(options, body = '') {
  return new Promise((resolve, reject) => {
    const req = http.request({ timeout: CALL_TIMEOUT_MS, agent: false, ...options }, (res) => {
      const parts = [];
      res.on('data', (part) => parts.push(part));
      res.on('error', reject);
      res.on('end', () =>
        resolve({
          status: res.statusCode,
          headers: res.headers,
          body: Buffer.concat(parts),
          isWhole: res.complete,
        }),
      );
    });
    req.on('timeout', () => req.destroy(new Error('no answer in time')));
    req.on('error', reject);
    req.end(body);
  });
}

async function freePort(host) {
  const server = net.createServer();
  await new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen({ host, port: 0 }, resolve);
  });
  const { port } = server.address();
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return port;
}

/** Arguments of Node with which the deploy file runs a program. */
function runWords(program) {
  const text = fs.readFileSync(path.join(ROOT, 'deploy', 'system.toml'), 'utf8');
  const line = text.split('\n').find((each) => each.includes(`target/${program}.cjs`));
  return /run = "node (.*)"/.exec(line)[1].split(' ');
}

/** A whole deployment: control VMs `c1`.. and entry VMs `e1`.., each a process with a loopback address of its own. */
export class Fleet {
  constructor(record, { memoryMb = 350 } = {}) {
    this.record = record;
    this.memoryMb = memoryMb;
    this.folder = fs.mkdtempSync(path.join(os.tmpdir(), 'anvildeck-review-'));
    this.children = new Map();
    this.vms = new Map();
    this.servers = [];
    this.entries = [];
    const net16 = `127.${64 + Math.floor(Math.random() * 128)}.${Math.floor(Math.random() * 250)}`;
    this.addressOf = (at) => `${net16}.${at}`;
  }

  /** Chooses addresses and ports; the list of replicas is a stand-in of this process. */
  async prepare(controls, entries) {
    const probe = this.addressOf(1);
    const base = 20000 + Math.floor(Math.random() * 20000);
    this.ports = {
      internal: base,
      operators: await freePort(probe),
      callers: await freePort(probe),
      ready: await freePort(probe),
    };
    for (let at = 0; at < controls + entries; at++) {
      const name = at < controls ? `c${at + 1}` : `e${at - controls + 1}`;
      this.vms.set(name, this.addressOf(at + 1));
    }
    this.seeds = [...this.vms].filter(([name]) => name.startsWith('c')).slice(0, 3);
    this.listAddress = await this.serve((req, res) => {
      res.end(JSON.stringify({ instances: this.entries, next: null }));
    });
  }

  /** Starts an HTTP stand-in on a free port; resolves with its `ip:port`. */
  async serve(handle, options = {}) {
    const server = http.createServer(options, handle);
    this.servers.push(server);
    await new Promise((resolve) => {
      server.listen({ host: '127.0.0.1', port: 0 }, resolve);
    });
    return `127.0.0.1:${server.address().port}`;
  }

  ip(name) {
    return this.vms.get(name);
  }

  /** Starts the process of a VM; `bootstrap` as in the settings. */
  start(name, bootstrap = true) {
    const program = name.startsWith('c') ? 'control' : 'entry';
    const file = path.join(this.folder, `${name}.toml`);
    fs.writeFileSync(file, this.settings(name, program, bootstrap));
    const log = fs.openSync(path.join(this.folder, `${name}.log`), 'a');
    const { PATH, HOME } = process.env;
    const child = childProcess.spawn(process.execPath, runWords(program), {
      cwd: ROOT,
      env: { PATH, HOME, ANVILDECK_BOOT: file },
      stdio: ['ignore', log, log],
    });
    fs.closeSync(log);
    this.children.set(name, child);
    child.once('exit', (code, signal) =>
      this.record.write(`process ${name} has ended: code ${code}, signal ${signal}`),
    );
    this.record.write(`process ${name} started at ${this.ip(name)}, bootstrap ${bootstrap}`);
  }

  /** Sends a signal to the process of a VM. */
  signal(name, signal) {
    this.record.write(`${signal} to ${name}`);
    this.children.get(name).kill(signal);
  }

  isRunning(name) {
    const { exitCode, signalCode } = this.children.get(name);
    return exitCode === null && signalCode === null;
  }

  /** Resolves once the process of a VM has ended. */
  ended(name) {
    return until(`end of ${name}`, 20_000, () => !this.isRunning(name));
  }

  log(name) {
    return fs.readFileSync(path.join(this.folder, `${name}.log`), 'utf8');
  }

  /** Resident memory of a VM's process in bytes. */
  residentBytes(name) {
    try {
      const status = fs.readFileSync(`/proc/${this.children.get(name).pid}/status`, 'utf8');
      return Number(/VmRSS:\s+(\d+) kB/.exec(status)?.[1] ?? 0) * 1024;
    } catch {
      return 0;
    }
  }

  /** Deletes the data folder of a VM whose process has ended. */
  loseDisk(name) {
    this.record.write(`${name} loses its disk`);
    fs.rmSync(path.join(this.folder, `data-${name}`), { recursive: true, force: true });
  }

  /** A call of the operator to a control VM; follows redirects as operators do. */
  async operator(name, method, target, body = '') {
    let address = { host: this.ip(name), port: this.ports.operators };
    let answer = await call({ ...address, method, path: target }, body);
    for (let hop = 0; hop < MAX_REDIRECTS && answer.status === 307; hop++) {
      const { hostname, port, pathname } = new URL(answer.headers.location);
      address = { host: hostname, port: Number(port) };
      answer = await call({ ...address, method, path: pathname }, body);
    }
    return answer;
  }

  /** Sends a configuration to the control VMs in turn until one acknowledges it. */
  async configure(text, limitMs = 30_000) {
    const controls = [...this.vms.keys()].filter((name) => name.startsWith('c'));
    let at = 0;
    await until('configuration acknowledged', limitMs, async () => {
      const name = controls[at % controls.length];
      at += 1;
      const answer = await this.operator(name, 'POST', '/v1/config/put', text).catch(
        () => undefined,
      );
      return answer?.status === 200;
    });
    this.record.write('operator: configuration acknowledged');
  }

  /** Resolves once an entry VM is ready. */
  ready(name) {
    return until(`${name} ready`, 30_000, async () => {
      const options = { host: this.ip(name), port: this.ports.ready, path: '/v1/readyz' };
      const answer = await call(options).catch(() => undefined);
      return answer?.status === 200;
    });
  }

  /** Ends everything that this fleet started. */
  async dispose() {
    this.children.forEach((child) => {
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    });
    this.servers.forEach((server) => {
      server.close();
      server.closeAllConnections();
    });
    await sleep(200);
    fs.rmSync(this.folder, { recursive: true, force: true });
  }

  settings(name, program, bootstrap) {
    const ip = this.ip(name);
    const { internal, operators, callers, ready } = this.ports;
    const seeds = this.seeds.map(([, seed]) => `"${seed}:${operators}"`).join(', ');
    const dataDir = `dataDir = "${path.join(this.folder, `data-${name}`)}"`;
    const isControl = program === 'control';
    return `
nodeName = "${name}"
role = "anvildeck-${program}"
machineClass = "front"
serves = ["${isControl ? 'control' : 'front'}"]
ip = "${ip}"
zone = "luzon-a"
region = "luzon"
portRange = [${internal}, ${internal + 9}]
seeds = [${seeds}]
bootstrap = ${bootstrap}
inTolerance = ${isControl}
${isControl ? dataDir : ''}
discovery = "cloud"
entry = "vip"
configMode = "highest"
[zones]
luzon-a = "luzon"
[listen]
front = "${ip}:${callers}"
ready = "${ip}:${ready}"
control = "${ip}:${operators}"
[limits]
cpuShare = 0.608
cores = 2
memoryMb = ${this.memoryMb}
maxFds = 4100
linkMbps = 1000.0
diskMb = 64
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
contactMs = 3000
graceS = 8
drainMs = 3000
configMs = 2000
retryRatio = 0.2
retryWindowS = 10
retrySlack = 64
[cloud]
address = "${this.listAddress}"
ratePerS = 47.0
lagMs = 800
`;
  }
}

/**
 * Runs a case: `run` resolves with a text that says how the rule was broken, or undefined if it held. Sets the exit code
 * to 1, 0 or, if the case could not run, 2.
 */
export async function runCase(folder, limitMs, run) {
  const record = new records.Record(folder);
  const isCalm = process.env.TROUBLE === '0';
  const timer = timersPromises.setTimeout(limitMs, 'late', { ref: false });
  let code = 2;
  const fleets = [];
  const createFleet = (options) => {
    const fleet = new Fleet(record, options);
    fleets.push(fleet);
    return fleet;
  };
  try {
    const outcome = await Promise.race([run({ record, isCalm, createFleet }), timer]);
    if (outcome === 'late') {
      record.write('the case has not ended in time');
    } else {
      code = outcome === undefined ? 0 : 1;
      record.write(outcome === undefined ? 'the rule held' : `the rule was broken: ${outcome}`);
    }
  } catch (err) {
    record.write(`the case could not run: ${err.stack}`);
  }
  await Promise.all(fleets.map((fleet) => fleet.dispose()));
  process.exit(code);
}
