import * as lruCache from 'lru-cache';
import type * as commonTypes from '../../common/Types.js';
import type * as configTypes from '../../config/Types.js';
import type * as decisionOptions from '../DecisionOptions.js';
import * as endpointError from '../endpoints/EndpointError.js';
import type * as entryTypes from '../Types.js';
import type * as crashTracker from './CrashTracker.js';

const HEALTH_PATH = '/healthz';
const MAX_ENDPOINTS = 20_000;
/** Crashes of one endpoint with an unknown incarnation share a crash id within this time. */
const UNKNOWN_CRASH_WINDOW_MS = 1_000;
/** Probe result: the connection was refused or lost. */
const UNREACHABLE = '\u0000down';
/** Probe result: no incarnation was received in time, which does not prove a crash. */
const INCONCLUSIVE = '\u0000unsure';

/** Confirms a crash by a health probe: a refused connection or a changed incarnation is a crash. */
export class HealthConfirmer implements crashTracker.ICrashConfirmer {
  private readonly incarnations = new lruCache.LRUCache<string, string>({ max: MAX_ENDPOINTS });

  private probeCount = 0;

  /** Sends probes through `client`, each with a timeout of `options.confirmTimeoutMs`. */
  constructor(
    private readonly options: decisionOptions.ICrashOptions,
    private readonly clock: commonTypes.IClock,
    private readonly client: entryTypes.IEndpointClient,
  ) {}

  /** Records the incarnation of a healthy endpoint, against which later probes are compared. */
  recordIncarnation(endpoint: string, incarnation: string): void {
    this.incarnations.set(endpoint, incarnation);
  }

  /** Fetches the current incarnation of the endpoint; resolves with undefined when it reports none in time. */
  async fetchIncarnation(endpoint: configTypes.IEndpoint): Promise<string | undefined> {
    const found = await this.probe(endpoint);
    return found === UNREACHABLE || found === INCONCLUSIVE ? undefined : found;
  }

  /** @inheritdoc */
  async confirm(endpoint: configTypes.IEndpoint): Promise<string | undefined> {
    const known = this.incarnations.get(endpoint.name);
    const found = await this.probe(endpoint);
    if (
      found !== UNREACHABLE &&
      (found === INCONCLUSIVE || known === undefined || known === found)
    ) {
      return undefined;
    }
    const moment = Math.floor(this.clock.now() / UNKNOWN_CRASH_WINDOW_MS);
    return `${endpoint.name}/${known ?? moment}`;
  }

  /** Resolves with the current incarnation, UNREACHABLE when the connection failed, else INCONCLUSIVE. */
  private async probe(endpoint: configTypes.IEndpoint): Promise<string> {
    const controller = new AbortController();
    const timer = this.clock.setTimer(this.options.confirmTimeoutMs, () => controller.abort());
    try {
      const answer = await this.client.call(endpoint, this.createProbeCall(), controller.signal);
      return readIncarnation(answer.body);
    } catch (err) {
      const failure = err instanceof endpointError.EndpointError ? err.failure : undefined;
      return failure === 'connect-failed' || failure === 'connection-lost'
        ? UNREACHABLE
        : INCONCLUSIVE;
    } finally {
      timer.dispose();
    }
  }

  private createProbeCall(): entryTypes.IEndpointCall {
    this.probeCount += 1;
    return {
      method: 'GET',
      path: HEALTH_PATH,
      callId: `health-${this.probeCount}`,
      headers: {},
      body: new Uint8Array(0),
      budget: this.options.confirmTimeoutMs,
      stream: false,
      // Opens a new connection, since a kept-alive one may lead to the old incarnation.
      repeatable: false,
    };
  }
}

function readIncarnation(body: Uint8Array): string {
  const parsed: unknown = JSON.parse(Buffer.from(body).toString('utf8'));
  const incarnation = (parsed as { readonly incarnation?: unknown } | null)?.incarnation;
  return incarnation === undefined ? INCONCLUSIVE : String(incarnation);
}
