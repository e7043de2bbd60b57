/** Services of the caller interface. */
import type * as requestError from '../../common/RequestError.js';
import type * as commonTypes from '../../common/Types.js';
import type * as pipelineTypes from '../pipeline/Types.js';
import type * as requestScope from '../pipeline/RequestScope.js';
import type * as callerRoutes from './CallerRoutes.js';
import type * as types from './Types.js';

/** A caller's request with its complete body. */
export interface ICallerRequest {
  readonly route: callerRoutes.CallerRoute;
  readonly method: string;
  readonly headers: types.ICallerHeaders;
  readonly contentType: string | undefined;
  readonly authorization: string | undefined;
  readonly body: Buffer;
  /** Time at which the request arrived, monotonic milliseconds. */
  readonly arrivalTime: commonTypes.Millis;
}

/** A validated and authorized request that is ready to run. */
export interface IAcceptedRequest {
  readonly scope: requestScope.RequestScope;
  /** Version of the configuration under which the request runs. */
  readonly version: number;
  /** Runs the request; rejects with RequestError when it fails. */
  run(): Promise<pipelineTypes.CallerAnswer>;
  /** Records the outcome for accounting: the error, or undefined for a complete answer. */
  settle(err: requestError.RequestError | undefined): void;
}

/** Validates and authorizes requests and runs them under the configuration in force. */
export interface IRequestService {
  /** Whether the configuration is confirmed to be current, so that requests are accepted. */
  readonly ready: boolean;
  /** Version of the configuration in force; undefined before the first configuration. */
  readonly version: number | undefined;
  /** Validates a request without running it; throws RequestError when it cannot be accepted. */
  accept(request: ICallerRequest): IAcceptedRequest;
}
