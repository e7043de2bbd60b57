/** Selects the codec of each stage kind. */
import * as pattern from 'ts-pattern';
import type * as configTypes from '../../../config/Types.js';
import type * as types from '../Types.js';
import * as encodingCodec from './EncodingCodec.js';
import * as generationCodec from './GenerationCodec.js';
import * as rerankingCodec from './RerankingCodec.js';
import * as retrievalCodec from './RetrievalCodec.js';

const encoding = new encodingCodec.EncodingCodec();
const retrieval = new retrievalCodec.RetrievalCodec();
const reranking = new rerankingCodec.RerankingCodec();
const generation = new generationCodec.GenerationCodec();

/**
 * Returns the codec of a stage kind.
 *
 * @example
 * codecOf('encoding').buildRequest(stage, state, false);
 */
export function codecOf(kind: configTypes.StageKind): types.IStageCodec {
  return pattern
    .match(kind)
    .with('encoding', () => encoding)
    .with('retrieval', () => retrieval)
    .with('reranking', () => reranking)
    .with('generation', () => generation)
    .exhaustive();
}
