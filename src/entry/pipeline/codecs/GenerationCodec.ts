import * as zod from 'zod';
import type * as configTypes from '../../../config/Types.js';
import type * as types from '../Types.js';
import * as json from './Json.js';

const answerSchema = zod.object({
  choices: zod.array(zod.object({ message: zod.object({ content: zod.string() }) })).min(1),
  usage: zod
    .object({ prompt_tokens: zod.number(), completion_tokens: zod.number() })
    .default({ prompt_tokens: 0, completion_tokens: 0 }),
});

/** Codec of generation stages, which use the OpenAI chat completions API with the documents as context. */
export class GenerationCodec implements types.IStageCodec {
  /** @inheritdoc */
  buildRequest(
    stage: configTypes.IStage,
    state: types.IPipelineState,
    stream: boolean,
  ): types.IStageRequest {
    const body = {
      model: stage.model ?? stage.pool,
      messages: messagesOf(state),
      stream,
      ...(stage.maxTokens === undefined ? {} : { max_tokens: stage.maxTokens }),
    };
    return { path: '/v1/chat/completions', body: json.encode(body) };
  }

  /** @inheritdoc */
  applyAnswer(state: types.IPipelineState, body: Uint8Array): types.IPipelineState {
    const answer = json.decode(body, answerSchema);
    const usage = {
      promptTokens: state.usage.promptTokens + answer.usage.prompt_tokens,
      completionTokens: state.usage.completionTokens + answer.usage.completion_tokens,
    };
    return { ...state, text: answer.choices[0]?.message.content ?? '', usage };
  }
}

function messagesOf(state: types.IPipelineState): readonly types.IChatMessage[] {
  const context = state.documents.map((document) => document.text);
  const draft = state.text === '' ? [] : [{ role: 'assistant', content: state.text }];
  const system =
    context.length === 0
      ? []
      : [{ role: 'system', content: `Answer from these documents:\n${context.join('\n')}` }];
  return [...system, ...state.input.messages, ...draft];
}
