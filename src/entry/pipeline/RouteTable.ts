import * as requestError from '../../common/RequestError.js';
import type * as configTypes from '../../config/Types.js';

/** The declared route that matches a service call, with its service and pool. */
export interface IMatchedRoute {
  readonly service: configTypes.IService;
  readonly route: configTypes.IRoute;
  readonly pool: configTypes.IPool;
}

/** Looks up the pools, request kinds, pipelines and service routes of one declaration. */
export class RouteTable {
  private readonly pools: ReadonlyMap<string, configTypes.IPool>;

  private readonly kinds: ReadonlyMap<string, configTypes.IRequestKind>;

  private readonly pipelines: ReadonlyMap<string, configTypes.IPipeline>;

  private readonly services: ReadonlyMap<string, configTypes.IService>;

  /** Indexes a validated declaration, in which all references between items resolve. */
  constructor(declaration: configTypes.IDeclaration) {
    this.pools = indexByName(declaration.pools);
    this.kinds = indexByName(declaration.kinds);
    this.pipelines = indexByName(declaration.pipelines);
    this.services = indexByName(declaration.services);
  }

  /** Returns the pool of a name that the declaration references. */
  pool(name: string): configTypes.IPool {
    return requireDeclared(this.pools.get(name), name);
  }

  /** Returns the request kind of a name that the declaration references. */
  kind(name: string): configTypes.IRequestKind {
    return requireDeclared(this.kinds.get(name), name);
  }

  /** Returns the pipeline that a caller requests by name; throws RequestError `unknown-pipeline`. */
  pipeline(name: string): configTypes.IPipeline {
    const pipeline = this.pipelines.get(name);
    if (!pipeline) {
      const message = `no pipeline "${name}"; declared pipelines: ${[...this.pipelines.keys()].join(', ')}`;
      throw notFound('unknown-pipeline', message, 'model');
    }
    return pipeline;
  }

  /** Returns the route that matches a service call; throws RequestError `unknown-service` or `method-not-allowed`. */
  findService(name: string, method: string, path: string): IMatchedRoute {
    const service = this.services.get(name);
    if (!service) {
      const message = `no service "${name}"; declared services: ${[...this.services.keys()].join(', ')}`;
      throw notFound('unknown-service', message, 'service');
    }
    const routesOnPath = service.routes.filter((route) => pathMatches(route.path, path));
    if (routesOnPath.length === 0) {
      throw notFound('unknown-service', `service "${name}" declares no path ${path}`, 'path');
    }
    const route = routesOnPath.find((candidate) => candidate.method === method);
    if (!route) {
      const allowed = routesOnPath.map((candidate) => candidate.method).join(', ');
      throw notFound('method-not-allowed', `send ${allowed} to this path`, 'method');
    }
    return { service, route, pool: this.pool(service.pool) };
  }
}

function indexByName<T extends { readonly name: string }>(
  items: readonly T[],
): ReadonlyMap<string, T> {
  return new Map(items.map((item) => [item.name, item]));
}

function requireDeclared<T>(item: T | undefined, name: string): T {
  if (item === undefined) {
    throw new Error(`the declaration references "${name}" but does not define it`);
  }
  return item;
}

function pathMatches(declaredPath: string, path: string): boolean {
  const declaredSegments = declaredPath.split('/');
  const segments = path.split('/');
  if (declaredSegments.length !== segments.length) {
    return false;
  }
  return declaredSegments.every((segment, index) => {
    const isParameter = segment.startsWith('{') && segment.endsWith('}');
    return isParameter ? segments[index] !== '' : segment === segments[index];
  });
}

function notFound(
  code: 'unknown-pipeline' | 'unknown-service' | 'method-not-allowed',
  message: string,
  param: string,
): requestError.RequestError {
  return new requestError.RequestError(code, message, { run: 'not-run', param });
}
