import * as requestError from '../../common/RequestError.js';
import type * as commonTypes from '../../common/Types.js';
import type * as configTypes from '../../config/Types.js';
import type * as entryTypes from '../Types.js';
import type * as atMostOnceRunner from './AtMostOnceRunner.js';
import * as fingerprints from './Fingerprint.js';
import type * as requestScope from './RequestScope.js';
import type * as types from './Types.js';

/** A service call with the declared route that it matches. */
export interface IRoutedCall {
  readonly service: configTypes.IService;
  readonly route: configTypes.IRoute;
  readonly pool: configTypes.IPool;
  readonly call: types.IServiceCall;
  readonly idempotencyKey: string | undefined;
}

/** Runs calls of services that are not part of a pipeline. */
export class ServiceRunner {
  /** Sends calls through `stages`; non-repeatable calls run through `atMostOnce`. */
  constructor(
    private readonly stages: entryTypes.IStageRunner,
    private readonly atMostOnce: atMostOnceRunner.AtMostOnceRunner,
    private readonly clock: commonTypes.IClock,
  ) {}

  /** Runs a service call and resolves with its complete answer; rejects with RequestError. */
  async run(routed: IRoutedCall, scope: requestScope.RequestScope): Promise<types.IWholeAnswer> {
    if (routed.route.repeatable) {
      return this.send(routed, scope.ctx);
    }
    const { ctx } = scope;
    const intent = {
      workspace: ctx.workspace,
      target: ctx.target,
      key: ledgerKeyOf(routed),
      bodyHash: fingerprints.fingerprint(routed.call.path, routed.call.body),
      createdAt: this.clock.now(),
      requestId: ctx.id,
    };
    return this.atMostOnce.run(intent, ctx.signal, () => this.send(routed, scope.detached));
  }

  private async send(
    routed: IRoutedCall,
    ctx: entryTypes.IRequestContext,
  ): Promise<types.IWholeAnswer> {
    const { call, route } = routed;
    const answer = await this.stages.run(
      {
        stage: routed.service.name,
        pool: routed.pool,
        method: route.method,
        path: `/${call.path}${call.query}`,
        headers: call.contentType === undefined ? {} : { 'content-type': call.contentType },
        body: call.body,
        repeatable: route.repeatable,
        following: [],
      },
      ctx,
    );
    const contentType = answer.headers['content-type'] ?? 'application/octet-stream';
    return { kind: 'whole', status: answer.status, contentType, body: answer.body };
  }
}

function ledgerKeyOf(routed: IRoutedCall): string {
  const { naturalKey } = routed.route;
  const body = naturalKey.length === 0 ? undefined : parseBody(routed.call.body);
  return fingerprints.ledgerKey(naturalKey, body, routed.idempotencyKey);
}

function parseBody(body: Uint8Array): unknown {
  try {
    return JSON.parse(Buffer.from(body).toString('utf8'));
  } catch (err) {
    const message =
      'the body is not JSON; the natural key of this call is read from fields of a JSON body';
    throw new requestError.RequestError('bad-json', message, {
      run: 'not-run',
      param: 'body',
      cause: err,
    });
  }
}
