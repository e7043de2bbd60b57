import * as zod from 'zod';
import type * as configTypes from '../../../config/Types.js';
import type * as types from '../Types.js';
import * as json from './Json.js';

/** Number of documents requested from a retrieval stage. */
const TOP_K = 8;

const answerSchema = zod.object({
  documents: zod.array(zod.object({ id: zod.string(), text: zod.string(), score: zod.number() })),
});

/** Codec of retrieval stages, which return documents for the input text and its embedding. */
export class RetrievalCodec implements types.IStageCodec {
  /** @inheritdoc */
  buildRequest(stage: configTypes.IStage, state: types.IPipelineState): types.IStageRequest {
    const query = { query: state.input.text, embedding: state.embedding, top_k: TOP_K };
    return { path: '/v1/retrieve', body: json.encode(query) };
  }

  /** @inheritdoc */
  applyAnswer(state: types.IPipelineState, body: Uint8Array): types.IPipelineState {
    return { ...state, documents: json.decode(body, answerSchema).documents };
  }
}
