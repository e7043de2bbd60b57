/** Validates the JSON bodies of pipeline requests and converts them to pipeline input. */
import * as zod from 'zod';
import * as requestError from '../../common/RequestError.js';
import type * as pipelineTypes from '../pipeline/Types.js';

/** A validated pipeline request body. */
export interface IPipelineBody {
  /** Pipeline rawInput by the body; undefined when the path names it. */
  readonly model: string | undefined;
  /** Whether the caller requests a streamed answer. */
  readonly stream: boolean;
  readonly input: pipelineTypes.IPipelineInput;
}

const contentSchema = zod.union([
  zod.string(),
  zod.array(zod.object({ type: zod.literal('text'), text: zod.string() })),
]);
const messageSchema = zod.object({ role: zod.string(), content: contentSchema });
const chatSchema = zod.object({
  model: zod.string(),
  messages: zod.array(messageSchema).min(1),
  stream: zod.boolean().nullish(),
});
const embeddingSchema = zod.object({
  model: zod.string(),
  input: zod.union([zod.string(), zod.array(zod.string()).min(1).max(1)]),
});
const pipelineSchema = zod.object({
  input: zod.union([zod.string().min(1), zod.looseObject({ text: zod.string() })]),
  stream: zod.boolean().optional(),
});

/** Reads a body of `/v1/pipelines/{pipeline}`; throws RequestError `bad-body`. */
export function readPipelineBody(raw: Readonly<Record<string, unknown>>): IPipelineBody {
  const body = validate(raw, pipelineSchema);
  const text = typeof body.input === 'string' ? body.input : body.input.text;
  const rawInput = typeof body.input === 'string' ? raw : body.input;
  return {
    model: undefined,
    stream: body.stream ?? false,
    input: { text, messages: [{ role: 'user', content: text }], raw: rawInput },
  };
}

/** Reads a body of `/v1/chat/completions`; throws RequestError `bad-body`. */
export function readChatBody(raw: Readonly<Record<string, unknown>>): IPipelineBody {
  const body = validate(raw, chatSchema);
  const messages = body.messages.map(({ role, content }) => ({ role, content: textOf(content) }));
  const inputMessage = messages.findLast((message) => message.role === 'user') ?? messages.at(-1);
  return {
    model: body.model,
    stream: body.stream ?? false,
    input: { text: inputMessage?.content ?? '', messages, raw },
  };
}

/** Reads a body of `/v1/embeddings`; throws RequestError `bad-body`. */
export function readEmbeddingBody(raw: Readonly<Record<string, unknown>>): IPipelineBody {
  const body = validate(raw, embeddingSchema);
  const text = typeof body.input === 'string' ? body.input : (body.input[0] ?? '');
  const messages = [{ role: 'user', content: text }];
  return { model: body.model, stream: false, input: { text, messages, raw } };
}

function textOf(content: zod.infer<typeof contentSchema>): string {
  return typeof content === 'string' ? content : content.map((part) => part.text).join('');
}

function validate<T>(raw: unknown, schema: zod.ZodType<T>): T {
  const result = schema.safeParse(raw);
  if (result.success) {
    return result.data;
  }
  const lines = result.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`);
  const param = result.error.issues[0]?.path.join('.') ?? 'body';
  throw new requestError.RequestError('bad-body', lines.join('; '), { run: 'not-run', param });
}
