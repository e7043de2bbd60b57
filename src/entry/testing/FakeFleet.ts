import type * as commonTypes from '../../common/Types.js';
import type * as configTypes from '../../config/Types.js';
import * as endpointError from '../endpoints/EndpointError.js';
import type * as entryTypes from '../Types.js';
import * as fakeEndpoint from './FakeEndpoint.js';

const NETWORK_MS = 1;
/** Time after which a poisonous request kills its endpoint. */
const POISON_MS = 3;
const DOWNTIME_MS = 5_000;

/** What the fleet is told and what it tells. */
export interface IFakeFleetOptions {
  /** Calls that one endpoint runs at once. */
  readonly slots: number;
  /** Time of one call. */
  readonly callMs: (call: entryTypes.IEndpointCall) => commonTypes.Millis;
  /** Tokens of a streamed answer. */
  readonly tokens?: number;
  /** Hears of every call that reaches an endpoint: its body, read as text. */
  readonly onRun?: (body: string, endpoint: string, callId: string) => void;
}

/** Endpoints for tests and benchmarks, behind the interface of the endpoint client. */
export class FakeFleet implements entryTypes.IEndpointClient {
  private readonly endpoints = new Map<string, fakeEndpoint.FakeEndpoint>();

  /** Calls that reached an endpoint. */
  attempts = 0;

  /** Takes time from `clock`. */
  constructor(
    private readonly clock: commonTypes.IClock,
    private readonly options: IFakeFleetOptions,
  ) {}

  /** The endpoint of that name, made on first use. */
  endpoint(name: string): fakeEndpoint.FakeEndpoint {
    const known = this.endpoints.get(name);
    if (known) {
      return known;
    }
    const created = new fakeEndpoint.FakeEndpoint(this.clock, this.options.slots);
    this.endpoints.set(name, created);
    return created;
  }

  /** Crashes of all endpoints. */
  get crashes(): number {
    return [...this.endpoints.values()].reduce((sum, endpoint) => sum + endpoint.crashes, 0);
  }

  /** @inheritdoc */
  async call(
    endpoint: configTypes.IEndpoint,
    call: entryTypes.IEndpointCall,
    signal: AbortSignal,
  ): Promise<entryTypes.IEndpointAnswer> {
    const fake = this.endpoint(endpoint.name);
    await this.clock.sleep(NETWORK_MS);
    this.checkHead(fake, endpoint.name, signal);
    if (call.path === '/healthz') {
      return this.answer(fake, JSON.stringify({ incarnation: fake.incarnation }));
    }
    this.attempts += 1;
    await this.work(fake, endpoint.name, call, signal);
    const body = Buffer.from(call.body).toString('utf8');
    return this.answer(fake, `answer to ${body}`);
  }

  /** @inheritdoc */
  async stream(
    endpoint: configTypes.IEndpoint,
    call: entryTypes.IEndpointCall,
    signal: AbortSignal,
  ): Promise<entryTypes.IEndpointStream> {
    const fake = this.endpoint(endpoint.name);
    await this.clock.sleep(NETWORK_MS);
    this.checkHead(fake, endpoint.name, signal);
    this.attempts += 1;
    this.options.onRun?.(Buffer.from(call.body).toString('utf8'), endpoint.name, call.callId);
    const { status, headers, load } = this.answer(fake, '');
    return { status, headers, load, chunks: this.tokens(fake, endpoint.name, call, signal) };
  }

  /** @inheritdoc */
  dispose(): void {
    this.endpoints.clear();
  }

  private checkHead(fake: fakeEndpoint.FakeEndpoint, name: string, signal: AbortSignal): void {
    if (signal.aborted) {
      throw new endpointError.EndpointError('cancelled', name, false);
    }
    if (!fake.up) {
      throw new endpointError.EndpointError('connect-failed', name, false);
    }
    if (fake.faults.refuses) {
      throw new endpointError.EndpointError('endpoint-refused', name, true, 503);
    }
  }

  private work(
    fake: fakeEndpoint.FakeEndpoint,
    name: string,
    call: entryTypes.IEndpointCall,
    signal: AbortSignal,
  ): Promise<void> {
    const body = Buffer.from(call.body).toString('utf8');
    return new Promise((resolve, reject) => {
      const fail = (failure: entryTypes.EndpointFailure): void =>
        reject(new endpointError.EndpointError(failure, name, true));
      const cancel = fake.submit({
        durationMs: this.options.callMs(call),
        onStart: () => {
          this.options.onRun?.(body, name, call.callId);
          if (body.includes('poison')) {
            this.clock.setTimer(POISON_MS, () => fake.up && fake.crash(DOWNTIME_MS));
          }
        },
        onDone: () => {
          if (fake.faults.errors) {
            fail('endpoint-error');
          } else if (fake.faults.mismatchesIds) {
            fail('answer-mismatch');
          } else {
            resolve();
          }
        },
        onLost: () => fail('connection-lost'),
      });
      signal.addEventListener('abort', () => {
        cancel();
        fail('cancelled');
      });
    });
  }

  /** Tokens in chunks that do not end where events end. */
  private async *tokens(
    fake: fakeEndpoint.FakeEndpoint,
    name: string,
    call: entryTypes.IEndpointCall,
    signal: AbortSignal,
  ): AsyncGenerator<Uint8Array> {
    const total = this.options.tokens ?? 10;
    const from = Number(call.headers['last-event-id'] ?? 0);
    const pause = this.options.callMs(call) / total;
    let carry = '';
    for (let token = from + 1; token <= total; token++) {
      await this.clock.sleep(pause * fake.faults.slowness);
      this.checkStream(fake, name, signal, token - from);
      const text = `${carry}id: ${token}\ndata: {"token":${token}}\n\n`;
      carry = text.slice(-4);
      yield Buffer.from(text.slice(0, -4));
    }
    yield Buffer.from(`${carry}data: [DONE]\n\n`);
  }

  private checkStream(
    fake: fakeEndpoint.FakeEndpoint,
    name: string,
    signal: AbortSignal,
    passed: number,
  ): void {
    if (signal.aborted) {
      throw new endpointError.EndpointError('cancelled', name, true);
    }
    const { faults } = fake;
    const cut = faults.cuts > 0 && faults.cutAfter !== undefined && passed > faults.cutAfter;
    faults.cuts -= cut ? 1 : 0;
    if (cut || !fake.up) {
      throw new endpointError.EndpointError('connection-lost', name, true);
    }
  }

  private answer(fake: fakeEndpoint.FakeEndpoint, body: string): entryTypes.IEndpointAnswer {
    return {
      status: 200,
      headers: {},
      body: Buffer.from(body),
      load: {
        running: fake.runningCount,
        waiting: fake.waitingCount,
        cacheUsed: 0,
        age: 0,
      },
    };
  }
}
