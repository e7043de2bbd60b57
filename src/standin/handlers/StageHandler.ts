import * as tsPattern from 'ts-pattern';
import type * as types from '../Types.js';
import * as work from './Work.js';

const DIMENSIONS = 8;
const DEFAULT_TOP = 4;
const BYTE_RANGE = 255;
const WORK_PATHS = new Set(['/v1/embeddings', '/v1/retrieve', '/v1/rerank']);

type Body = Readonly<Record<string, unknown>>;

/** A member of a stage pool: embeddings, retrieval and reranking. */
export class StageHandler implements types.IHandler {
  /** Answers for one stand-in. */
  constructor(private readonly ctx: types.IStandinContext) {}

  /** @inheritdoc */
  isWork(call: types.ICall): boolean {
    return WORK_PATHS.has(call.path);
  }

  /** @inheritdoc */
  async handle(call: types.ICall): Promise<types.IReply> {
    return tsPattern
      .match(`${call.method} ${call.path}`)
      .with('POST /v1/embeddings', () => this.answer(call, (body) => this.embed(body)))
      .with('POST /v1/retrieve', () => this.answer(call, retrieve))
      .with('POST /v1/rerank', () => this.answer(call, rerank))
      .otherwise(() => Promise.resolve({ status: 404, json: { error: 'no such path' } }));
  }

  private async answer(call: types.ICall, make: (body: Body) => unknown): Promise<types.IReply> {
    const json = make(work.parseBody(call));
    await work.spendService(this.ctx, call);
    return { status: 200, json };
  }

  private embed(body: Body): unknown {
    const inputs: readonly unknown[] = Array.isArray(body.input) ? body.input : [body.input];
    const base64 = body.encoding_format === 'base64';
    const data = inputs.map((input, index) => {
      const vector = vectorOf(input);
      const embedding = base64
        ? Buffer.from(new Float32Array(vector).buffer).toString('base64')
        : vector;
      return { object: 'embedding', index, embedding };
    });
    const usage = { prompt_tokens: inputs.length, total_tokens: inputs.length };
    return { object: 'list', data, model: body.model ?? this.ctx.options.name, usage };
  }
}

function vectorOf(input: unknown): readonly number[] {
  const digest = Buffer.from(work.digestOf(input));
  return Array.from({ length: DIMENSIONS }, (unused, index) => (digest[index] ?? 0) / BYTE_RANGE);
}

function retrieve(body: Body): unknown {
  const digest = work.digestOf(body.query);
  const top = Number(body.top_k ?? DEFAULT_TOP);
  const documents = Array.from({ length: top }, (unused, index) => ({
    id: `${digest}-${index}`,
    text: `document ${index} for ${digest}`,
    score: 1 / (index + 1),
  }));
  return { documents };
}

interface IDocument {
  readonly id?: string;
  readonly text?: string;
}

function rerank(body: Body): unknown {
  if (!Array.isArray(body.documents)) {
    throw new work.BadCallError('documents is no list');
  }
  const digest = work.digestOf(body.query);
  const scored = (body.documents as readonly (IDocument | string)[]).map((item, index) => {
    const doc: IDocument = typeof item === 'string' ? { text: item } : item;
    const text = doc.text ?? '';
    const score = Number.parseInt(work.digestOf(`${digest}${text}`), 16) / 0xffffffff;
    return { id: doc.id ?? String(index), text, score };
  });
  const ranked = scored.sort((a, b) => b.score - a.score);
  return { results: ranked.slice(0, Number(body.top_n ?? DEFAULT_TOP)) };
}
