import * as requestError from '../../common/RequestError.js';
import type * as commonTypes from '../../common/Types.js';
import type * as configTypes from '../../config/Types.js';
import type * as entryTypes from '../Types.js';
import * as answers from './PipelineAnswers.js';
import type * as atMostOnceRunner from './AtMostOnceRunner.js';
import * as codecs from './codecs/Codecs.js';
import * as fingerprints from './Fingerprint.js';
import type * as requestScope from './RequestScope.js';
import type * as types from './Types.js';

/** Characters of the first message that are hashed as the prompt prefix, for prefix affinity. */
const PROMPT_PREFIX_CHARS = 256;

/** Retry delay for callers whose deadline cannot be met at present. */
const DEADLINE_RETRY_AFTER_MS = 1_000;

const JSON_HEADERS = { 'content-type': 'application/json' };

/** Returns the declared pool of a name; validation of the declaration guarantees that it exists. */
export type PoolFinder = (name: string) => configTypes.IPool;

/** Runs the stages of a pipeline in order, all under the deadline of the request. */
export class PipelineRunner {
  /** Sends stage calls through `stages`; pipelines with a non-repeatable stage run through `atMostOnce`. */
  constructor(
    private readonly stages: entryTypes.IStageRunner,
    private readonly atMostOnce: atMostOnceRunner.AtMostOnceRunner,
    private readonly clock: commonTypes.IClock,
  ) {}

  /** Runs a pipeline call; rejects with RequestError, which a stream may also throw after it has started. */
  async run(
    call: types.IPipelineCall,
    pools: PoolFinder,
    scope: requestScope.RequestScope,
  ): Promise<types.CallerAnswer> {
    this.rejectUnreachableDeadline(call);
    if (call.pipeline.stages.every((stage) => stage.repeatable)) {
      return this.runStages(call, pools);
    }
    if (call.stream) {
      const message =
        'this pipeline has a stage that runs at most once and cannot be streamed; send "stream": false';
      throw new requestError.RequestError('bad-body', message, { run: 'not-run', param: 'stream' });
    }
    return this.runAtMostOnce(call, pools, scope);
  }

  private rejectUnreachableDeadline(call: types.IPipelineCall): void {
    const refs = stageRefs(call.pipeline, 0);
    const code = this.stages.forecast(refs, call.ctx);
    if (code !== undefined) {
      const message =
        'the stages cannot finish within the deadline at present; allow more time or retry later';
      const retryAfter = DEADLINE_RETRY_AFTER_MS;
      throw new requestError.RequestError(code, message, { run: 'not-run', retryAfter });
    }
  }

  private runAtMostOnce(
    call: types.IPipelineCall,
    pools: PoolFinder,
    scope: requestScope.RequestScope,
  ): Promise<types.IWholeAnswer> {
    const { raw } = call.input;
    const intent = {
      workspace: call.ctx.workspace,
      target: call.ctx.target,
      key: fingerprints.ledgerKey(call.pipeline.naturalKey, raw, call.idempotencyKey),
      bodyHash: fingerprints.fingerprint(JSON.stringify(raw)),
      createdAt: this.clock.now(),
      requestId: call.ctx.id,
    };
    const detached = { ...call, ctx: scope.detached };
    return this.atMostOnce.run(intent, call.ctx.signal, async () => {
      const answer = await this.runStages(detached, pools);
      return answer as types.IWholeAnswer;
    });
  }

  private async runStages(
    call: types.IPipelineCall,
    pools: PoolFinder,
  ): Promise<types.CallerAnswer> {
    const stages = requestedStages(call);
    let state = initialState(call.input);
    for (const [index, stage] of stages.entries()) {
      const stageCall = this.stageCall(call, stage, index, state, pools);
      if (call.stream && index === stages.length - 1) {
        return this.runLastAsStream(stageCall, call, index);
      }
      const answer = await this.runStage(stageCall, call, index);
      if (call.shape === 'embedding') {
        return answers.jsonAnswer(answer.body);
      }
      state = codecs.codecOf(stage.kind).applyAnswer(state, answer.body);
    }
    return answers.pipelineAnswer(call, state);
  }

  private stageCall(
    call: types.IPipelineCall,
    stage: configTypes.IStage,
    index: number,
    state: types.IPipelineState,
    pools: PoolFinder,
  ): entryTypes.IStageCall {
    const last = index === call.pipeline.stages.length - 1;
    const request = codecs.codecOf(stage.kind).buildRequest(stage, state, call.stream && last);
    return {
      stage: stage.name,
      pool: pools(stage.pool),
      method: 'POST',
      path: request.path,
      headers: JSON_HEADERS,
      body: request.body,
      repeatable: stage.repeatable,
      following: stageRefs(call.pipeline, index + 1),
      ...(stage.kind === 'generation' ? { prefix: prefixOf(call) } : {}),
    };
  }

  private async runStage(
    stageCall: entryTypes.IStageCall,
    call: types.IPipelineCall,
    index: number,
  ): Promise<entryTypes.IStageAnswer> {
    try {
      return requireSuccess(await this.stages.run(stageCall, call.ctx));
    } catch (err) {
      throw markEarlierStagesRun(err, index);
    }
  }

  private async runLastAsStream(
    stageCall: entryTypes.IStageCall,
    call: types.IPipelineCall,
    index: number,
  ): Promise<types.IStreamAnswer> {
    try {
      const stream = requireSuccess(await this.stages.runStream(stageCall, call.ctx));
      const contentType = stream.headers['content-type'] ?? 'text/event-stream';
      return { kind: 'stream', status: stream.status, contentType, chunks: stream.chunks };
    } catch (err) {
      throw markEarlierStagesRun(err, index);
    }
  }
}

/** Selects the stages to run: the first encoding stage for an embeddings call, otherwise all stages. */
function requestedStages(call: types.IPipelineCall): readonly configTypes.IStage[] {
  if (call.shape !== 'embedding') {
    return call.pipeline.stages;
  }
  const encoding = call.pipeline.stages.filter((stage) => stage.kind === 'encoding').slice(0, 1);
  if (encoding.length === 0) {
    const message = `pipeline ${call.pipeline.name} has no encoding stage; choose a pipeline that has one`;
    throw new requestError.RequestError('bad-body', message, { run: 'not-run', param: 'model' });
  }
  return encoding;
}

function stageRefs(pipeline: configTypes.IPipeline, from: number): readonly entryTypes.IStageRef[] {
  return pipeline.stages.slice(from).map((stage) => ({ target: pipeline.name, stage: stage.name }));
}

function initialState(input: types.IPipelineInput): types.IPipelineState {
  const usage = { promptTokens: 0, completionTokens: 0 };
  return { input, embedding: [], documents: [], text: '', usage };
}

function prefixOf(call: types.IPipelineCall): string {
  const first = call.input.messages[0]?.content ?? call.input.text;
  return fingerprints.fingerprint(call.ctx.workspace, first.slice(0, PROMPT_PREFIX_CHARS));
}

/** Throws `endpoint-failed` on status 400 or above: the engine rejected the call, so the pipeline has no answer. */
function requireSuccess<T extends { readonly status: number }>(answer: T): T {
  if (answer.status >= 400) {
    const message = `a stage answered HTTP ${answer.status}; the operator can find the call by the request id`;
    throw new requestError.RequestError('endpoint-failed', message, { run: 'run' });
  }
  return answer;
}

/** Changes `not-run` to `run` in the error of a stage when earlier stages of the request have already run. */
function markEarlierStagesRun(err: unknown, finishedStages: number): unknown {
  if (
    !(err instanceof requestError.RequestError) ||
    err.run !== 'not-run' ||
    finishedStages === 0
  ) {
    return err;
  }
  return new requestError.RequestError(err.code, err.message, {
    run: 'run',
    cause: err,
    ...(err.retryAfter === undefined ? {} : { retryAfter: err.retryAfter }),
  });
}
