import type * as blameTable from '../blame/BlameTable.js';
import type * as commonServices from '../common/services/Services.js';
import type * as commonTypes from '../common/Types.js';
import type * as streamVersions from '../coordination/StreamVersions.js';
import type * as coordination from '../coordination/Types.js';
import type * as rateLimits from '../ratelimit/Types.js';
import type * as endpointRooms from '../room/EndpointRooms.js';
import * as routeIndex from '../routing/RouteIndex.js';
import type * as routing from '../routing/Types.js';
import type * as bodyMemory from './BodyMemory.js';
import type * as plainQuarantine from './PlainQuarantine.js';
import * as plainRequestHandler from './PlainRequestHandler.js';
import * as requestScope from './RequestScope.js';
import type * as retryBudget from './RetryBudget.js';
import type * as serviceBalancer from './ServiceBalancer.js';
import * as engineRequestHandler from './EngineRequestHandler.js';
import type * as types from './Types.js';

/** Retry-After value while this VM has no configuration yet, or may have an old one. */
const NOT_READY_RETRY_AFTER_MS = 300;
/** Retry-After value while this VM shuts down; short, because another VM can serve the caller at once. */
const DRAINING_RETRY_AFTER_MS = 50;
/** Fraction of an endpoint's connection limit that all entry VMs together use. */
const USABLE_CONNECTIONS_RATIO = 0.8;

/** Collaborators of a Gateway. */
export interface IGatewayDependencies {
  readonly clock: commonTypes.IClock;
  readonly random: commonTypes.IRandom;
  readonly caller: types.IEndpointCaller;
  readonly planner: coordination.IPlanner;
  readonly balancer: serviceBalancer.ServiceBalancer;
  readonly budget: retryBudget.RetryBudget;
  /** Memory for responses that are read completely before they are sent. */
  readonly memory: bodyMemory.IBodyMemory;
  readonly permits: rateLimits.IPermitService;
  readonly rooms: endpointRooms.EndpointRooms;
  readonly blameTable: blameTable.BlameTable;
  readonly quarantine: plainQuarantine.PlainQuarantine;
  readonly streams: streamVersions.StreamVersions;
  readonly logService: commonServices.ILogService;
  readonly metrics: commonServices.IMetricsService;
  /** Returns the number of entry VMs in use, which divide the connections to each endpoint among them. */
  readonly entryVmCount: () => number;
  /** Whether no configuration newer than `version` is known to be in force. */
  readonly isConfigurationCurrent: (version: number) => boolean;
}

/**
 * Entry point for requests of callers: looks up route and workspace in the configuration in force, rejects requests
 * that cannot be served, and hands the others to a request handler.
 */
export class Gateway {
  private index: routeIndex.RouteIndex | undefined;

  private draining = false;

  private readonly openScopes = new Set<requestScope.RequestScope>();

  /** Rejects all requests as not ready until `configure` is called. */
  constructor(private readonly deps: IGatewayDependencies) {}

  /** Version of the configuration in force; 0 before the first one. */
  get version(): number {
    return this.index?.table.version ?? 0;
  }

  /** Limits on the requests of callers; undefined before the first configuration. */
  get limits(): routing.ICallerLimits | undefined {
    return this.index?.table.limits;
  }

  /** Whether it is known that no configuration newer than the one in force exists. */
  get isCurrent(): boolean {
    return this.index !== undefined && this.deps.isConfigurationCurrent(this.version);
  }

  /** Number of requests whose response is not complete. */
  get openRequests(): number {
    return this.openScopes.size;
  }

  /** Whether the configuration in force has a route for the host and the path of a request. */
  hasRoute(host: string, path: string): boolean {
    return this.index?.find(host, path) !== undefined;
  }

  /** Whether a request with this host, target and API key passes the checks that `handle` makes first. */
  isServable(host: string, target: string, apiKey: string | undefined): boolean {
    const { index } = this;
    const route = index?.find(host, target.split('?', 1)[0] as string);
    if (this.draining || index === undefined || route === undefined) {
      return false;
    }
    return route.isPublic || index.findWorkspace(apiKey) !== 'unknown-key';
  }

  /** Puts a configuration in force; ignores it unless it is newer than the current one. */
  configure(table: routing.IRoutingTable): void {
    if (table.version > this.version) {
      this.index = new routeIndex.RouteIndex(table);
      this.deps.logService.info('config-in-force', {
        version: table.version,
        routes: table.routes.length,
        services: table.services.size,
        headerTimeout: table.limits.headerTimeout,
        idleTimeout: table.limits.idleTimeout,
      });
    }
  }

  /** Rejects all new requests from now on; open requests continue. */
  startDraining(): void {
    this.draining = true;
  }

  /**
   * Ends all open requests, because the process exits: rejects those whose response has not started, and aborts the
   * others.
   */
  endOpenRequests(): void {
    [...this.openScopes].forEach((scope) => {
      const { request, route, responseStarted, attemptCount, isNotRun, age } = scope;
      this.deps.logService.warn('ended-by-exit', {
        request: request.id,
        route: route.name,
        begun: responseStarted,
        sendings: attemptCount,
        age: Math.round(age),
      });
      this.deps.metrics.count('refused', { reason: 'draining' });
      if (responseStarted) {
        scope.responder.abort();
      } else {
        scope.responder.reject(isNotRun ? 'draining' : 'endpoint-failed', DRAINING_RETRY_AFTER_MS);
      }
      scope.finish();
    });
  }

  /** Handles one request; `responder` receives the response or a rejection. */
  handle(request: types.IIncomingRequest, responder: types.IResponder): void {
    const { index } = this;
    if (this.draining) {
      this.reject(request, responder, 'draining', DRAINING_RETRY_AFTER_MS);
      return;
    }
    if (index === undefined) {
      this.reject(request, responder, 'not-ready', NOT_READY_RETRY_AFTER_MS);
      return;
    }
    const path = request.target.split('?', 1)[0] as string;
    const route = index.find(request.host, path);
    if (route === undefined) {
      this.deny(request, responder, 'no-route');
      return;
    }
    const workspace = index.findWorkspace(request.apiKey);
    if (workspace === 'unknown-key' && !route.isPublic) {
      this.deny(request, responder, 'bad-key');
      return;
    }
    const knownWorkspace = typeof workspace === 'string' ? undefined : workspace;
    this.serve(request, responder, route, knownWorkspace);
  }

  /**
   * Returns the maximum number of connections from this VM to one endpoint of a service: an equal part of the usable
   * limit for each entry VM, and at least 1.
   */
  maxConnections(service: string): number {
    const limit = this.index?.table.services.get(service)?.maxConnections;
    const limitPerVm =
      ((limit ?? Number.POSITIVE_INFINITY) * USABLE_CONNECTIONS_RATIO) / this.deps.entryVmCount();
    return Math.max(1, Math.floor(limitPerVm));
  }

  private serve(
    request: types.IIncomingRequest,
    responder: types.IResponder,
    route: routing.IRoute,
    workspace: routing.IWorkspaceKeys | undefined,
  ): void {
    const { clock, random } = this.deps;
    const service = routeIndex.RouteIndex.chooseService(route, random.next());
    const scope = new requestScope.RequestScope(
      request,
      route,
      service,
      workspace,
      responder,
      clock,
      (expired) => this.timeOut(expired),
      (left, cause) => this.recordDisconnect(left, cause),
    );
    responder.limitSending(scope.deadline);
    this.openScopes.add(scope);
    scope.onFinish(() => {
      this.openScopes.delete(scope);
      this.deps.metrics.timing('request', scope.age, { route: route.kind });
    });
    if (scope.timeLeft === 0) {
      // It has waited behind others on its connection.
      this.timeOut(scope);
      scope.finish();
      return;
    }
    const deps = { ...this.deps, maxConnections: (name: string) => this.maxConnections(name) };
    const isEngine = this.index?.table.services.get(service)?.engine !== undefined;
    const handler = isEngine
      ? new engineRequestHandler.EngineRequestHandler(scope, deps)
      : new plainRequestHandler.PlainRequestHandler(scope, deps);
    handler.run().catch((err: Error) => {
      this.deps.logService.error('request-failed', { request: request.id, reason: err.stack });
      this.failInternally(scope);
    });
  }

  /** Ends a request after an unexpected error: aborts a started response, else sends an internal error. */
  private failInternally(scope: requestScope.RequestScope): void {
    if (scope.isFinished) {
      return;
    }
    this.deps.metrics.count('refused', { reason: 'internal' });
    if (scope.responseStarted) {
      scope.responder.abort();
    } else {
      scope.responder.reject('internal');
    }
    scope.finish();
  }

  /** Responds to a request whose deadline passed; says `overloaded` only if no endpoint executed it. */
  private timeOut(scope: requestScope.RequestScope): void {
    const { request, route, responseStarted, attemptCount } = scope;
    const rejection = scope.isNotRun ? 'overloaded' : 'timed-out';
    this.deps.logService.info('timed-out', {
      request: request.id,
      route: route.name,
      begun: responseStarted,
      sendings: attemptCount,
      age: Math.round(scope.age),
    });
    this.deps.metrics.count('refused', { reason: 'timed-out' });
    if (responseStarted) {
      scope.responder.abort();
    } else {
      scope.responder.reject(rejection, 0);
    }
  }

  /** Reports a request whose connection closed before its response was complete. */
  private recordDisconnect(
    { request, route, responseStarted, attemptCount, age }: requestScope.RequestScope,
    cause: types.DisconnectCause,
  ): void {
    this.deps.logService.info('caller-disconnected', {
      request: request.id,
      route: route.name,
      cause,
      begun: responseStarted,
      sendings: attemptCount,
      age: Math.round(age),
    });
    this.deps.metrics.count('caller_disconnects', { cause });
  }

  /**
   * Rejects a request that the configuration in force does not allow. The caller is to come back if a newer one may
   * allow it: this VM has not heard lately that it holds the newest.
   */
  private deny(
    request: types.IIncomingRequest,
    responder: types.IResponder,
    rejection: types.Rejection,
  ): void {
    if (this.isCurrent) {
      this.reject(request, responder, rejection);
    } else {
      this.reject(request, responder, 'config-unconfirmed', NOT_READY_RETRY_AFTER_MS, rejection);
    }
  }

  /** Rejects a request before it is handled; `retryAfter` is sent to the caller if the status allows it. */
  private reject(
    request: types.IIncomingRequest,
    responder: types.IResponder,
    rejection: types.Rejection,
    retryAfter?: commonTypes.Millis,
    lookup?: types.Rejection,
  ): void {
    this.deps.logService.info('rejected', {
      request: request.id,
      host: request.host,
      reason: rejection,
      lookup,
      config: this.version,
    });
    this.deps.metrics.count('refused', { reason: rejection });
    responder.reject(rejection, retryAfter);
  }
}
