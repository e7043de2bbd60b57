/** Builders of small declarations and requests for tests and benchmarks. */
import * as requestError from '../../common/RequestError.js';
import type * as commonTypes from '../../common/Types.js';
import type * as configTypes from '../../config/Types.js';
import type * as entryTypes from '../Types.js';

/** Default time from arrival to deadline. */
export const DEADLINE_MS = 1_000;

/** Makes a pool of `size` endpoints that alternate between the zones `a` and `b`. */
export function makePool(
  size: number,
  changes: Partial<configTypes.IPool> = {},
): configTypes.IPool {
  const name = changes.name ?? 'llm';
  const endpoints = Array.from({ length: size }, (unused, index) => ({
    name: `${name}-${index + 1}`,
    address: `127.0.0.1:${9000 + index}`,
    zone: index % 2 === 0 ? 'a' : 'b',
    checksFencing: true,
    role: 'both' as const,
  }));
  return {
    name,
    kind: 'generation',
    resumable: true,
    costPerSecond: 1,
    endpoints,
    ...changes,
  };
}

/** Makes a configuration of these pools with workspaces `w1` to `w3`, whose shares are 1, 1 and 2. */
export function makeConfiguration(
  pools: readonly configTypes.IPool[],
  version = 1,
): configTypes.IConfiguration {
  const workspaces = [1, 1, 2].map((share, index) => ({
    name: `w${index + 1}`,
    share,
    keys: [],
  }));
  return {
    version,
    declaration: {
      version: version - 1,
      name: 'test',
      zones: [],
      workspaces,
      kinds: [],
      pools,
      pipelines: [],
      services: [],
    },
  };
}

/** A request of a test and the controls of its caller. */
export interface ITestRequest {
  readonly ctx: entryTypes.IRequestContext;
  /** Aborts the request as its deadline does, as if the caller disconnected. */
  readonly disconnect: () => void;
  /** Cancels the deadline timer. */
  readonly dispose: () => void;
}

/** Properties of a test request; all but `id` have defaults. */
export interface ITestRequestOptions {
  readonly id: string;
  readonly deadlineMs?: commonTypes.Millis;
  readonly patience?: configTypes.Patience;
  readonly workspace?: string;
  readonly target?: string;
  readonly fingerprint?: string;
  readonly costs?: entryTypes.ICostSink;
}

/** Makes a request whose signal aborts at its deadline. */
export function makeRequest(clock: commonTypes.IClock, options: ITestRequestOptions): ITestRequest {
  const { id, deadlineMs = DEADLINE_MS, patience = 'interactive' } = options;
  const controller = new AbortController();
  const abort = (): void =>
    controller.abort(
      new requestError.RequestError('deadline-exceeded', 'deadline exceeded', { run: 'unknown' }),
    );
  const timer = clock.setTimer(deadlineMs, abort);
  const now = clock.monotonic();
  const ctx: entryTypes.IRequestContext = {
    id,
    workspace: options.workspace ?? 'w1',
    target: options.target ?? 'answer',
    kind: { name: patience, deadlineMs, patience, attainmentTarget: 0.99, costTarget: 1 },
    arrived: now,
    deadline: now + deadlineMs,
    fingerprint: options.fingerprint ?? id,
    signal: controller.signal,
    costs: options.costs ?? { add: () => {} },
  };
  return { ctx, disconnect: abort, dispose: () => timer.dispose() };
}

/** Makes a call of one generation stage; tests pass the request id as `body`. */
export function makeCall(
  pool: configTypes.IPool,
  body: string,
  changes: Partial<entryTypes.IStageCall> = {},
): entryTypes.IStageCall {
  return {
    stage: 'generate',
    pool,
    method: 'POST',
    path: '/v1/chat/completions',
    headers: {},
    body: Buffer.from(body),
    repeatable: true,
    following: [],
    ...changes,
  };
}
