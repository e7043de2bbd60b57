import type * as commonServices from '../common/services/Services.js';
import type * as commonTypes from '../common/Types.js';
import type * as coordination from '../coordination/Types.js';
import * as routeIndex from '../routing/RouteIndex.js';
import type * as routing from '../routing/Types.js';
import * as plainRequestHandler from './PlainRequestHandler.js';
import * as requestScope from './RequestScope.js';
import type * as retryBudget from './RetryBudget.js';
import type * as serviceBalancer from './ServiceBalancer.js';
import * as engineRequestHandler from './EngineRequestHandler.js';
import type * as types from './Types.js';

/** A caller is told to come back after this when this VM has no configuration yet. */
const NOT_READY_RETRY_MS = 300;
/** A caller that arrives while this VM shuts down finds another at once. */
const DRAINING_RETRY_MS = 50;
/** Share of an endpoint's connections that all entry VMs together use. */
const CONNECTION_SHARE = 0.8;

/** What a gateway works with. */
export interface IGatewayDependencies {
  readonly clock: commonTypes.IClock;
  readonly random: commonTypes.IRandom;
  readonly caller: types.IEndpointCaller;
  readonly planner: coordination.IPlanner;
  readonly balancer: serviceBalancer.ServiceBalancer;
  readonly budget: retryBudget.RetryBudget;
  readonly logService: commonServices.ILogService;
  readonly metrics: commonServices.IMetricsService;
  /** Entry VMs in use. */
  readonly entryVmCount: () => number;
}

/** Serves requests by the configuration in force. */
export class Gateway {
  private index: routeIndex.RouteIndex | undefined;

  private refusing = false;

  private open = 0;

  /** Serves nothing before `configure`. */
  constructor(private readonly needs: IGatewayDependencies) {}

  /** Version in force; 0 before the first. */
  get version(): number {
    return this.index?.table.version ?? 0;
  }

  /** Bounds of what callers may send. */
  get limits(): routing.ICallerLimits | undefined {
    return this.index?.table.limits;
  }

  /** Requests that are not answered yet. */
  get openRequests(): number {
    return this.open;
  }

  /** Whether the path and host of a request have a route now. */
  hasRoute(host: string, path: string): boolean {
    return this.index?.find(host, path) !== undefined;
  }

  /** Takes a configuration; an older one than that in force is ignored. */
  configure(table: routing.IRoutingTable): void {
    if (table.version > this.version) {
      this.index = new routeIndex.RouteIndex(table);
      this.needs.logService.info('config-in-force', {
        version: table.version,
        routes: table.routes.length,
        services: table.services.size,
      });
    }
  }

  /** Refuses every request from now on. */
  startDraining(): void {
    this.refusing = true;
  }

  /** Serves one request. */
  handle(arrival: types.IIncomingRequest, responder: types.IResponder): void {
    const { index } = this;
    if (this.refusing) {
      this.reject(arrival, responder, 'draining', DRAINING_RETRY_MS);
      return;
    }
    if (index === undefined) {
      this.reject(arrival, responder, 'not-ready', NOT_READY_RETRY_MS);
      return;
    }
    const path = arrival.target.split('?', 1)[0] as string;
    const route = index.find(arrival.host, path);
    if (route === undefined) {
      this.reject(arrival, responder, 'no-route');
      return;
    }
    const workspace = index.findWorkspace(arrival.apiKey);
    if (workspace === 'unknown-key' && !route.isPublic) {
      this.reject(arrival, responder, 'bad-key');
      return;
    }
    const owner = typeof workspace === 'string' ? undefined : workspace;
    this.serve(arrival, responder, route, owner);
  }

  /** Connections to one endpoint of a service that this VM may hold: its part of what the endpoint takes. */
  maxConnections(service: string): number {
    const limit = this.index?.table.services.get(service)?.maxConnections;
    const share =
      ((limit ?? Number.POSITIVE_INFINITY) * CONNECTION_SHARE) / this.needs.entryVmCount();
    return Math.max(1, Math.floor(share));
  }

  private serve(
    arrival: types.IIncomingRequest,
    responder: types.IResponder,
    route: routing.IRoute,
    workspace: routing.IWorkspaceKeys | undefined,
  ): void {
    const { clock, random } = this.needs;
    const service = routeIndex.RouteIndex.chooseService(route, random.next());
    const scope = new requestScope.RequestScope(
      arrival,
      route,
      service,
      workspace,
      responder,
      clock,
      (late) => this.timeOut(late),
    );
    this.open += 1;
    scope.onFinish(() => {
      this.open -= 1;
      this.needs.metrics.timing('request', scope.age, { route: route.kind });
    });
    const needs = { ...this.needs, maxConnections: (name: string) => this.maxConnections(name) };
    const isEngine = this.index?.table.services.get(service)?.engine !== undefined;
    const run = isEngine
      ? new engineRequestHandler.EngineRequestHandler(scope, needs)
      : new plainRequestHandler.PlainRequestHandler(scope, needs);
    run.run().catch((err: Error) => {
      this.needs.logService.error('request-broke', { request: arrival.id, reason: err.stack });
      this.failInternally(scope);
    });
  }

  private failInternally(scope: requestScope.RequestScope): void {
    if (scope.isOver) {
      return;
    }
    if (scope.responseStarted) {
      scope.responder.abort();
    } else {
      scope.responder.reject('internal');
    }
    scope.finish();
  }

  private timeOut(scope: requestScope.RequestScope): void {
    const { request: arrival, route, responseStarted: begun, attemptCount: sendings } = scope;
    const rejection = scope.isNotRun ? 'overloaded' : 'timed-out';
    this.needs.logService.info('timed-out', {
      request: arrival.id,
      route: route.name,
      begun,
      sendings,
      age: Math.round(scope.age),
    });
    this.needs.metrics.count('refused', { reason: 'timed-out' });
    if (begun) {
      scope.responder.abort();
    } else {
      scope.responder.reject(rejection, 0);
    }
  }

  private reject(
    arrival: types.IIncomingRequest,
    responder: types.IResponder,
    rejection: types.Rejection,
    retryAfter?: commonTypes.Millis,
  ): void {
    this.needs.logService.info('rejected', {
      request: arrival.id,
      host: arrival.host,
      reason: rejection,
      config: this.version,
    });
    this.needs.metrics.count('refused', { reason: rejection });
    responder.reject(rejection, retryAfter);
  }
}
