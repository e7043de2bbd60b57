import type * as http from 'node:http';
import * as tsPattern from 'ts-pattern';
import type * as commonTypes from '../../common/Types.js';
import type * as types from '../Types.js';
import type * as orderBook from './OrderBook.js';
import type * as prefixCache from './PrefixCache.js';
import * as work from './Work.js';

const DONE_EVENT = 'data: [DONE]\n\n';
const PREFIX_HIT_SCALE = 0.5;

interface IChat {
  readonly digest: string;
  readonly model: string;
  readonly tokens: number;
  readonly stream: boolean;
  /** Offset after which a resumed stream goes on; 0 for a new one. */
  readonly after: number;
}

/** A model engine: chat completions whole and streamed, cache events, orders, KV cache. */
export class EngineHandler implements types.IHandler {
  /** Answers for one stand-in. */
  constructor(
    private readonly ctx: types.IStandinContext,
    private readonly cache: prefixCache.PrefixCache,
    private readonly orders: orderBook.OrderBook,
    private readonly others: types.IHandler,
  ) {}

  /** @inheritdoc */
  isWork(call: types.ICall): boolean {
    return call.path === '/v1/chat/completions' || this.others.isWork(call);
  }

  /** @inheritdoc */
  async handle(call: types.ICall, res: http.ServerResponse): Promise<types.IReply | undefined> {
    return tsPattern
      .match(`${call.method} ${call.path}`)
      .with('POST /v1/chat/completions', () => this.chat(call, res))
      .with('GET /v1/cache/events', () => this.cache.publish(res))
      .with('POST /v1/orders', () => this.orders.take(work.parseBody(call)))
      .with('GET /v1/orders', () => this.orders.read())
      .with('POST /v1/kv/export', () => this.cache.export(work.parseBody(call)))
      .with('POST /v1/kv/import', () => this.cache.import(work.parseBody(call)))
      .otherwise(() => this.others.handle(call, res));
  }

  private async chat(
    call: types.ICall,
    res: http.ServerResponse,
  ): Promise<types.IReply | undefined> {
    const body = work.parseBody(call);
    const chat = this.parseChat(call, body);
    const hit = this.cache.touch(work.prefixOf(body.messages));
    await work.spendService(this.ctx, call, hit ? PREFIX_HIT_SCALE : 1);
    if (chat.stream) {
      await this.streamTokens(chat, call, res);
      return undefined;
    }
    await this.ctx.clock.sleep(chat.tokens * this.tokenSpan(), call.signal);
    return { status: 200, json: wholeAnswer(chat) };
  }

  private parseChat(call: types.ICall, body: Readonly<Record<string, unknown>>): IChat {
    if (!Array.isArray(body.messages)) {
      throw new work.BadCallError('messages is no list');
    }
    const limit = Number(body.max_tokens ?? body.max_completion_tokens ?? Infinity);
    return {
      digest: work.digestOf(body.messages),
      model: String(body.model ?? this.ctx.options.name),
      tokens: Math.max(1, Math.min(this.ctx.options.tokens, limit)),
      stream: body.stream === true,
      after: Number(call.headers['last-event-id'] ?? 0),
    };
  }

  private tokenSpan(): number {
    return this.ctx.options.tokenMs * this.ctx.faults.stragglerFactor;
  }

  private async streamTokens(
    chat: IChat,
    call: types.ICall,
    res: http.ServerResponse,
  ): Promise<void> {
    res.writeHead(200, { 'Content-Type': 'text/event-stream', 'Cache-Control': 'no-cache' });
    res.flushHeaders();
    const { clock } = this.ctx;
    let due = clock.monotonic();
    for (let offset = chat.after + 1; offset <= chat.tokens; offset++) {
      due += this.tokenSpan();
      await sleepUntil(clock, due, call.signal);
      res.write(tokenEvent(chat, offset));
      if (chat.after === 0 && offset === this.ctx.faults.cutAtToken) {
        res.socket?.destroySoon();
        return;
      }
    }
    res.end(DONE_EVENT);
  }
}

/** Keeps the pace over many tokens: a token that is late already is not delayed further. */
async function sleepUntil(
  clock: commonTypes.IClock,
  due: commonTypes.Millis,
  signal: AbortSignal,
): Promise<void> {
  const wait = due - clock.monotonic();
  if (wait > 0) {
    await clock.sleep(wait, signal);
  }
}

function tokenText(chat: IChat, offset: number): string {
  return `${chat.digest}.${offset} `;
}

function tokenEvent(chat: IChat, offset: number): string {
  const finish = offset === chat.tokens ? '"stop"' : 'null';
  const head = `{"id":"chat-${chat.digest}","object":"chat.completion.chunk","created":0,"model":"${chat.model}"`;
  return `id: ${offset}\ndata: ${head},"choices":[{"index":0,"delta":{"content":"${tokenText(chat, offset)}"},"finish_reason":${finish}}]}\n\n`;
}

function wholeAnswer(chat: IChat): unknown {
  const offsets = Array.from({ length: chat.tokens }, (unused, index) => index + 1);
  const content = offsets.map((offset) => tokenText(chat, offset)).join('');
  return {
    id: `chat-${chat.digest}`,
    object: 'chat.completion',
    created: 0,
    model: chat.model,
    choices: [{ index: 0, message: { role: 'assistant', content }, finish_reason: 'stop' }],
    usage: { prompt_tokens: 1, completion_tokens: chat.tokens, total_tokens: chat.tokens + 1 },
  };
}
