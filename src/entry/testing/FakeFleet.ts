import type * as commonTypes from '../../common/Types.js';
import type * as configTypes from '../../config/Types.js';
import * as endpointError from '../endpoints/EndpointError.js';
import type * as entryTypes from '../Types.js';
import * as fakeEndpoint from './FakeEndpoint.js';

const NETWORK_DELAY_MS = 1;
/** Time after which a request whose body contains `poison` crashes its endpoint. */
const POISON_DELAY_MS = 3;
const RESTART_MS = 5_000;

/** Options and callbacks of the fleet. */
export interface IFakeFleetOptions {
  /** Maximum concurrent calls per endpoint. */
  readonly slots: number;
  /** Returns the processing time of a call, milliseconds. */
  readonly callMs: (call: entryTypes.IEndpointCall) => commonTypes.Millis;
  /** Number of tokens of a streamed answer; 10 when absent. */
  readonly tokens?: number;
  /** Called for every call that an endpoint starts, with its body as text. */
  readonly onRun?: (body: string, endpoint: string, callId: string) => void;
}

/** Simulated endpoints for tests and benchmarks that implement the endpoint client. */
export class FakeFleet implements entryTypes.IEndpointClient {
  private readonly endpoints = new Map<string, fakeEndpoint.FakeEndpoint>();

  /** Number of calls that reached an endpoint, without health checks. */
  attempts = 0;

  /** `clock` controls all delays. */
  constructor(
    private readonly clock: commonTypes.IClock,
    private readonly options: IFakeFleetOptions,
  ) {}

  /** Returns the endpoint of that name, which is created on first use. */
  endpoint(name: string): fakeEndpoint.FakeEndpoint {
    const known = this.endpoints.get(name);
    if (known) {
      return known;
    }
    const created = new fakeEndpoint.FakeEndpoint(this.clock, this.options.slots);
    this.endpoints.set(name, created);
    return created;
  }

  /** Total number of crashes of all endpoints. */
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
    await this.clock.sleep(NETWORK_DELAY_MS);
    this.checkAccepts(fake, endpoint.name, signal);
    if (call.path === '/healthz') {
      return this.makeAnswer(fake, JSON.stringify({ incarnation: fake.incarnation }));
    }
    this.attempts += 1;
    await this.runJob(fake, endpoint.name, call, signal);
    const body = Buffer.from(call.body).toString('utf8');
    return this.makeAnswer(fake, `answer to ${body}`);
  }

  /** @inheritdoc */
  async stream(
    endpoint: configTypes.IEndpoint,
    call: entryTypes.IEndpointCall,
    signal: AbortSignal,
  ): Promise<entryTypes.IEndpointStream> {
    const fake = this.endpoint(endpoint.name);
    await this.clock.sleep(NETWORK_DELAY_MS);
    this.checkAccepts(fake, endpoint.name, signal);
    this.attempts += 1;
    this.options.onRun?.(Buffer.from(call.body).toString('utf8'), endpoint.name, call.callId);
    const { status, headers, load } = this.makeAnswer(fake, '');
    return { status, headers, load, chunks: this.tokens(fake, endpoint.name, call, signal) };
  }

  /** @inheritdoc */
  dispose(): void {
    this.endpoints.clear();
  }

  private checkAccepts(fake: fakeEndpoint.FakeEndpoint, name: string, signal: AbortSignal): void {
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

  private runJob(
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
            this.clock.setTimer(POISON_DELAY_MS, () => fake.up && fake.crash(RESTART_MS));
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

  /** Yields tokens in chunks whose boundaries differ from those of the events. */
  private async *tokens(
    fake: fakeEndpoint.FakeEndpoint,
    name: string,
    call: entryTypes.IEndpointCall,
    signal: AbortSignal,
  ): AsyncGenerator<Uint8Array> {
    const total = this.options.tokens ?? 10;
    const from = Number(call.headers['last-event-id'] ?? 0);
    const tokenInterval = this.options.callMs(call) / total;
    let carry = '';
    for (let token = from + 1; token <= total; token++) {
      await this.clock.sleep(tokenInterval * fake.faults.slowness);
      this.checkNotCut(fake, name, signal, token - from);
      const text = `${carry}id: ${token}\ndata: {"token":${token}}\n\n`;
      carry = text.slice(-4);
      yield Buffer.from(text.slice(0, -4));
    }
    yield Buffer.from(`${carry}data: [DONE]\n\n`);
  }

  private checkNotCut(
    fake: fakeEndpoint.FakeEndpoint,
    name: string,
    signal: AbortSignal,
    tokensSent: number,
  ): void {
    if (signal.aborted) {
      throw new endpointError.EndpointError('cancelled', name, true);
    }
    const { faults } = fake;
    const cut = faults.cuts > 0 && faults.cutAfter !== undefined && tokensSent > faults.cutAfter;
    faults.cuts -= cut ? 1 : 0;
    if (cut || !fake.up) {
      throw new endpointError.EndpointError('connection-lost', name, true);
    }
  }

  private makeAnswer(fake: fakeEndpoint.FakeEndpoint, body: string): entryTypes.IEndpointAnswer {
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
