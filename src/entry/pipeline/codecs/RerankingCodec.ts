import * as zod from 'zod';
import type * as configTypes from '../../../config/Types.js';
import type * as types from '../Types.js';
import * as json from './Json.js';

/** Number of documents that a reranking stage returns. */
const TOP_N = 4;

const answerSchema = zod.object({
  results: zod.array(zod.object({ id: zod.string(), text: zod.string(), score: zod.number() })),
});

/** Codec of reranking stages, which reduce the documents to the best matches for the input text. */
export class RerankingCodec implements types.IStageCodec {
  /** @inheritdoc */
  buildRequest(stage: configTypes.IStage, state: types.IPipelineState): types.IStageRequest {
    const query = { query: state.input.text, documents: state.documents, top_n: TOP_N };
    return { path: '/v1/rerank', body: json.encode(query) };
  }

  /** @inheritdoc */
  applyAnswer(state: types.IPipelineState, body: Uint8Array): types.IPipelineState {
    return { ...state, documents: json.decode(body, answerSchema).results };
  }
}
