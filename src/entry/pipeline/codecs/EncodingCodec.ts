import * as zod from 'zod';
import type * as configTypes from '../../../config/Types.js';
import type * as types from '../Types.js';
import * as json from './Json.js';

const answerSchema = zod.object({
  data: zod.array(zod.object({ embedding: zod.array(zod.number()) })).min(1),
});

/** Codec of encoding stages, which use the OpenAI embeddings API. */
export class EncodingCodec implements types.IStageCodec {
  /** @inheritdoc */
  buildRequest(stage: configTypes.IStage, state: types.IPipelineState): types.IStageRequest {
    const body = { model: stage.model ?? stage.pool, input: state.input.text };
    return { path: '/v1/embeddings', body: json.encode(body) };
  }

  /** @inheritdoc */
  applyAnswer(state: types.IPipelineState, body: Uint8Array): types.IPipelineState {
    const answer = json.decode(body, answerSchema);
    return { ...state, embedding: answer.data[0]?.embedding ?? [] };
  }
}
