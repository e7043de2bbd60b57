/** Services of the callers' interface. */
import type * as requestError from '../../common/RequestError.js';
import type * as commonTypes from '../../common/Types.js';
import type * as pipelineTypes from '../pipeline/Types.js';
import type * as requestScope from '../pipeline/RequestScope.js';
import type * as callerRoutes from './CallerRoutes.js';
import type * as types from './Types.js';

/** A request of a caller with its body read. */
export interface ICallerRequest {
  readonly route: callerRoutes.CallerRoute;
  readonly method: string;
  readonly headers: types.ICallerHeaders;
  readonly contentType: string | undefined;
  readonly authorization: string | undefined;
  readonly body: Buffer;
  /** Monotonic milliseconds. */
  readonly arrivalTime: commonTypes.Millis;
}

/** A request that is understood and may run. */
export interface IAcceptedRequest {
  readonly scope: requestScope.RequestScope;
  /** Version of the configuration that the request runs under. */
  readonly version: number;
  /** Rejects with RequestError. */
  run(): Promise<pipelineTypes.CallerAnswer>;
  /** Records how the request ended; undefined for a whole answer. */
  settle(err: requestError.RequestError | undefined): void;
}

/** Understands requests and runs them under the configuration in force. */
export interface IRequestService {
  /** Whether a configuration is known to be current. */
  readonly ready: boolean;
  /** Version in force; undefined before the first. */
  readonly version: number | undefined;
  /** Throws RequestError on a request that cannot be accepted. */
  accept(request: ICallerRequest): IAcceptedRequest;
}
