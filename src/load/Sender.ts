import * as http from 'node:http';
import type * as commonTypes from '../common/Types.js';
import * as responseEnd from '../common/wire/ResponseEnd.js';
import * as responseGuard from '../common/wire/ResponseGuard.js';
import type * as types from './Types.js';

const END_MARK = 'data: [DONE]';
const TAIL_BYTES = 64;
const MAX_ERROR_BYTES = 65_536;
const GRACE_MS = 5000;

interface IAnswer {
  readonly status: number;
  readonly streamed: boolean;
  /** Last bytes of the body, or all of an error's. */
  readonly text: string;
  /** Whether the body came whole, by its own framing or a proper close. */
  readonly complete: boolean;
}

/** Sends planned requests to entries over kept connections and tells how each ended. */
export class Sender implements commonTypes.IDisposable {
  private readonly agent = new http.Agent({ keepAlive: true });

  /** Authenticates with the key text of each workspace. */
  constructor(
    private readonly clock: commonTypes.IClock,
    private readonly keys: Readonly<Record<string, string>>,
    private readonly seed: number,
  ) {}

  /** Sends one request; `due` is its planned moment in monotonic milliseconds. */
  async send(
    entry: string,
    planned: types.IPlannedRequest,
    due: commonTypes.Millis,
  ): Promise<types.IRequestEnd> {
    const { kind } = planned;
    let outcome: string;
    try {
      const answer = await this.exchange(entry, planned);
      const latency = this.clock.monotonic() - due;
      outcome = outcomeOf(answer, kind, latency);
    } catch {
      outcome = 'failed';
    }
    return { kind: kind.kind, outcome, latency: this.clock.monotonic() - due };
  }

  /** @inheritdoc */
  dispose(): void {
    this.agent.destroy();
  }

  private exchange(entry: string, planned: types.IPlannedRequest): Promise<IAnswer> {
    const { kind, index } = planned;
    const [host, port] = entry.split(':');
    const json = kind.body(index);
    const body = json === undefined ? '' : JSON.stringify(json);
    return new Promise((resolve, reject) => {
      const req = http.request({
        host,
        port,
        agent: this.agent,
        method: kind.method,
        path: kind.path(index),
        headers: this.headers(planned, body),
        timeout: kind.deadlineMs + GRACE_MS,
      });
      responseGuard.guardResponse(req);
      req.on('response', (res) => readAnswer(res, resolve, reject));
      req.on('timeout', () => req.destroy(new Error('no answer in time')));
      req.on('error', reject);
      req.end(body);
    });
  }

  private headers(planned: types.IPlannedRequest, body: string): http.OutgoingHttpHeaders {
    const key = this.keys[planned.workspace];
    const work = { 'idempotency-key': `load-${this.seed}-${planned.index}` };
    return {
      ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
      ...(body === '' ? {} : { 'content-type': 'application/json' }),
      'content-length': Buffer.byteLength(body),
      ...(planned.kind.keyed ? work : {}),
    };
  }
}

function readAnswer(
  res: http.IncomingMessage,
  resolve: (answer: IAnswer) => void,
  reject: (err: Error) => void,
): void {
  const end = new responseEnd.ResponseEnd(res);
  const status = res.statusCode ?? 0;
  const streamed = res.headers['content-type']?.startsWith('text/event-stream') ?? false;
  const keep = status >= 400 ? MAX_ERROR_BYTES : TAIL_BYTES;
  let tail = Buffer.alloc(0);
  res.on('data', (chunk: Buffer) => {
    tail = Buffer.concat([tail, chunk]).subarray(-keep);
  });
  res.on('error', reject);
  res.on('close', () => {
    resolve({ status, streamed, text: tail.toString(), complete: end.isComplete });
  });
}

function codeOf(answer: IAnswer): string {
  try {
    const body = JSON.parse(answer.text) as { readonly error?: { readonly code?: string } };
    return body.error?.code ?? `http-${answer.status}`;
  } catch {
    return `http-${answer.status}`;
  }
}

function outcomeOf(answer: IAnswer, kind: types.IMixKind, latency: commonTypes.Millis): string {
  if (answer.status >= 400) {
    return codeOf(answer);
  }
  const ended = !answer.streamed || answer.text.trimEnd().endsWith(END_MARK);
  if (!answer.complete || !ended) {
    return 'cut';
  }
  return latency <= kind.deadlineMs ? 'in-time' : 'late';
}
