import * as http from 'node:http';
import type * as net from 'node:net';
import * as emitter from '../common/Emitter.js';
import type * as commonTypes from '../common/Types.js';
import * as callReader from './CallReader.js';
import * as handlers from './Handlers.js';
import * as loadReporter from './LoadReporter.js';
import * as runCounter from './RunCounter.js';
import * as slotQueue from './SlotQueue.js';
import * as types from './Types.js';
import * as work from './handlers/Work.js';

const KEEP_ALIVE_MS = 60_000;

/**
 * One stand-in: an HTTP server that answers as an engine, stage pool, service, platform list or
 * weight store would, with switches for faults.
 *
 * @example
 * const standin = new Standin({ name: 'model-1', kind: 'engine' }, clock, random);
 * const address = await standin.start();
 * standin.setFaults({ cutAtToken: 3 });
 * standin.dispose();
 */
export class Standin implements commonTypes.IDisposable, types.IStandinContext {
  readonly options: types.IStandinOptions;

  private switches: types.IStandinFaults;

  private server: http.Server | undefined;

  private restartTimer: commonTypes.IDisposable | undefined;

  private leavingSince: commonTypes.Millis | undefined;

  private starts = 0;

  private currentIncarnation = '';

  private boundAddress = '';

  private readonly lastCalls = new Map<string, types.ICall>();

  private readonly queue: slotQueue.SlotQueue;

  private readonly counter: runCounter.RunCounter;

  private readonly set: handlers.IHandlerSet;

  private readonly load: loadReporter.LoadReporter;

  private readonly changes = new emitter.Emitter<void>();

  /** Fires when the stand-in starts, crashes or begins to leave. */
  readonly onChange = this.changes.event;

  /** Does not listen before `start`. `listed` gives the VMs that a platform list shows. */
  constructor(
    options: Partial<types.IStandinOptions> & Pick<types.IStandinOptions, 'name' | 'kind'>,
    readonly clock: commonTypes.IClock,
    readonly random: commonTypes.IRandom,
    listed: () => readonly types.IListedVm[] = () => [],
  ) {
    this.options = { ...types.DEFAULT_OPTIONS, ...options };
    this.switches = { ...types.DEFAULT_FAULTS, ...this.options.faults };
    this.leavingSince = this.switches.leaving ? clock.monotonic() : undefined;
    this.queue = new slotQueue.SlotQueue(this.options.slots, this.options.queueLimit);
    this.counter = new runCounter.RunCounter(this.options.keyFields);
    this.set = handlers.createHandlers(this, listed);
    this.load = new loadReporter.LoadReporter(this, this.queue, () => this.set.cacheUsed());
  }

  /** The switches as they are now. */
  get faults(): types.IStandinFaults {
    return this.switches;
  }

  /** `ip:port` where it listens; empty before the first start. */
  get address(): string {
    return this.boundAddress;
  }

  /** Changes with each start of the stand-in, after a crash too. */
  get incarnation(): string {
    return this.currentIncarnation;
  }

  /** Runs counted so far; they outlast crashes. */
  get runs(): types.IRunReport {
    return this.counter.report(this.options.name, this.currentIncarnation);
  }

  /** Listens and resolves with `ip:port`. */
  async start(): Promise<string> {
    const listen = this.boundAddress === '' ? this.options.listen : this.boundAddress;
    const [host = '', port = '0'] = listen.split(':');
    const server = http.createServer((req, res) => {
      void this.serve(req, res);
    });
    server.keepAliveTimeout = KEEP_ALIVE_MS;
    this.server = server;
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(Number(port), host, resolve);
    });
    const bound = server.address() as net.AddressInfo;
    this.boundAddress = `${bound.address}:${bound.port}`;
    this.starts += 1;
    this.currentIncarnation = `${Math.round(this.clock.now())}-${this.starts}`;
    this.changes.fire();
    return this.boundAddress;
  }

  /** Changes some switches; the others stay as they are. */
  setFaults(change: Partial<types.IStandinFaults>): void {
    this.switches = { ...this.switches, ...change };
    if (!this.switches.leaving) {
      this.leavingSince = undefined;
    }
    this.leavingSince ??= this.switches.leaving ? this.clock.monotonic() : undefined;
    this.changes.fire();
  }

  /** Tells a platform list that what it shows may have changed. */
  refresh(): void {
    this.set.refresh();
  }

  /** Drops all connections and stops listening for `restartMs`, as a crashed process would. */
  crash(): void {
    this.close();
    this.set.restart();
    this.changes.fire();
    this.restartLater();
  }

  /** @inheritdoc */
  dispose(): void {
    this.restartTimer?.dispose();
    this.close();
    this.set.dispose();
    this.changes.dispose();
  }

  private restartLater(): void {
    this.restartTimer = this.clock.setTimer(this.switches.restartMs, () => {
      this.start().catch(() => this.restartLater());
    });
  }

  private close(): void {
    this.server?.close();
    this.server?.closeAllConnections();
    this.server = undefined;
  }

  private async serve(req: http.IncomingMessage, res: http.ServerResponse): Promise<void> {
    const abort = new AbortController();
    res.on('close', () => abort.abort());
    try {
      const call = await callReader.readCall(req, abort.signal);
      const reply = await this.answer(call, res);
      if (reply !== undefined) {
        send(res, reply);
      }
    } catch (err) {
      this.fail(err, res, abort.signal);
    }
  }

  private fail(err: unknown, res: http.ServerResponse, signal: AbortSignal): void {
    if (signal.aborted) {
      this.counter.addCancelled();
    } else if (err instanceof work.BadCallError && !res.headersSent) {
      send(res, { status: 400, json: { error: err.message } });
    } else {
      res.destroy();
    }
  }

  private async answer(
    call: types.ICall,
    res: http.ServerResponse,
  ): Promise<types.IReply | undefined> {
    const own = this.answerOwn(call);
    if (own !== undefined) {
      return own;
    }
    res.setHeader('X-Request-Id', call.id);
    if (!this.set.handler.isWork(call)) {
      return this.set.handler.handle(call, res);
    }
    return this.runWork(call, res);
  }

  /** Health, load, and the switches and counts of the stand-in itself. */
  private answerOwn(call: types.ICall): types.IReply | undefined {
    switch (`${call.method} ${call.path}`) {
      case 'GET /healthz': {
        const state = this.switches.leaving ? 'leaving' : 'live';
        return { status: 200, json: { incarnation: this.currentIncarnation, state } };
      }
      case 'GET /load':
        return { status: 200, json: this.load.read() };
      case 'GET /standin/runs':
        return { status: 200, json: this.runs };
      case 'GET /standin/faults':
        return { status: 200, json: this.switches };
      case 'POST /standin/faults':
        this.setFaults(callReader.parseFaults(call));
        return { status: 200, json: this.switches };
      default:
        return undefined;
    }
  }

  private async runWork(
    call: types.ICall,
    res: http.ServerResponse,
  ): Promise<types.IReply | undefined> {
    if (this.queue.full || this.random.next() < this.switches.refuseShare) {
      return { status: 503, headers: { 'Retry-After': '1' }, json: { error: 'refused' } };
    }
    const arrived = this.clock.monotonic();
    await this.queue.acquire(callReader.readPriority(call), call.signal);
    try {
      this.counter.add(call, this.isPastGrace());
      return await this.runInSlot(call, res, arrived);
    } finally {
      this.queue.release();
    }
  }

  private async runInSlot(
    call: types.ICall,
    res: http.ServerResponse,
    arrived: commonTypes.Millis,
  ): Promise<types.IReply | undefined> {
    const { crashMarker } = this.switches;
    if (crashMarker !== '' && call.body.includes(crashMarker)) {
      this.crash();
      return undefined;
    }
    const served = this.chooseServed(call);
    res.setHeader('X-Request-Id', served.id);
    res.setHeader('X-Load-Report', this.load.header());
    const reply = await this.set.handler.handle(served, res);
    if (this.random.next() < this.switches.dropShare) {
      res.destroy();
      return undefined;
    }
    await this.delayLate(call, arrived);
    if (reply !== undefined && this.random.next() < this.switches.errorShare) {
      return { status: 500, json: { error: 'failed after the run' } };
    }
    return reply;
  }

  /** The call whose answer is given: its own, or by the switch that of the one before it. */
  private chooseServed(call: types.ICall): types.ICall {
    const last = this.lastCalls.get(call.path);
    this.lastCalls.set(call.path, call);
    if (this.random.next() >= this.switches.crossedShare) {
      return call;
    }
    return last === undefined
      ? { ...call, id: `not-${call.id}` }
      : { ...last, signal: call.signal };
  }

  private async delayLate(call: types.ICall, arrived: commonTypes.Millis): Promise<void> {
    if (this.switches.lateMs > 0) {
      const due = arrived + (call.budget ?? 0) + this.switches.lateMs;
      await this.clock.sleep(due - this.clock.monotonic(), call.signal);
    }
  }

  private isPastGrace(): boolean {
    const since = this.leavingSince;
    return since !== undefined && this.clock.monotonic() - since > types.LEAVING_GRACE_MS;
  }
}

function send(res: http.ServerResponse, reply: types.IReply): void {
  const body = JSON.stringify(reply.json);
  res.writeHead(reply.status, {
    'Content-Type': 'application/json',
    'Content-Length': Buffer.byteLength(body),
    ...reply.headers,
  });
  res.end(body);
}
