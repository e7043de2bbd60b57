/** Builds the complete answers of pipelines in the format of each caller API. */
import * as pattern from 'ts-pattern';
import type * as types from './Types.js';

const JSON_CONTENT_TYPE = 'application/json';
const MS_PER_SECOND = 1000;

/** Wraps an encoded JSON body as a complete answer with status 200. */
export function jsonAnswer(body: Uint8Array): types.IWholeAnswer {
  return { kind: 'whole', status: 200, contentType: JSON_CONTENT_TYPE, body };
}

function usageOf(state: types.IPipelineState): Readonly<Record<string, number>> {
  const { promptTokens, completionTokens } = state.usage;
  return {
    prompt_tokens: promptTokens,
    completion_tokens: completionTokens,
    total_tokens: promptTokens + completionTokens,
  };
}

function pipelineBody(call: types.IPipelineCall, state: types.IPipelineState): unknown {
  return {
    id: call.ctx.id,
    pipeline: call.pipeline.name,
    output: { text: state.text, documents: state.documents },
    usage: usageOf(state),
  };
}

function chatBody(call: types.IPipelineCall, state: types.IPipelineState): unknown {
  return {
    id: call.ctx.id,
    object: 'chat.completion',
    created: Math.floor(call.createdAt / MS_PER_SECOND),
    model: call.pipeline.name,
    choices: [
      {
        index: 0,
        message: { role: 'assistant', content: state.text, refusal: null },
        finish_reason: 'stop',
        logprobs: null,
      },
    ],
    usage: usageOf(state),
  };
}

/**
 * Builds the answer from the final pipeline state, in the format that the call requests.
 *
 * @example
 * pipelineAnswer(call, state).body;
 */
export function pipelineAnswer(
  call: types.IPipelineCall,
  state: types.IPipelineState,
): types.IWholeAnswer {
  const body = pattern
    .match(call.shape)
    .with('chat', () => chatBody(call, state))
    .with('pipeline', 'embedding', () => pipelineBody(call, state))
    .exhaustive();
  return jsonAnswer(Buffer.from(JSON.stringify(body), 'utf8'));
}
