import * as requestError from '../../common/RequestError.js';
import type * as configTypes from '../../config/Types.js';

/** A declared route that fits a service call. */
export interface IMatchedRoute {
  readonly service: configTypes.IService;
  readonly route: configTypes.IRoute;
  readonly pool: configTypes.IPool;
}

/** What a declaration offers, by name. */
export class RouteTable {
  private readonly pools: ReadonlyMap<string, configTypes.IPool>;

  private readonly kinds: ReadonlyMap<string, configTypes.IRequestKind>;

  private readonly pipelines: ReadonlyMap<string, configTypes.IPipeline>;

  private readonly services: ReadonlyMap<string, configTypes.IService>;

  /** Takes a checked declaration: its references hold. */
  constructor(declaration: configTypes.IDeclaration) {
    this.pools = byName(declaration.pools);
    this.kinds = byName(declaration.kinds);
    this.pipelines = byName(declaration.pipelines);
    this.services = byName(declaration.services);
  }

  /** A pool that the declaration refers to. */
  pool(name: string): configTypes.IPool {
    return declared(this.pools.get(name), name);
  }

  /** A kind of request that the declaration refers to. */
  kind(name: string): configTypes.IRequestKind {
    return declared(this.kinds.get(name), name);
  }

  /** The pipeline that a caller names; throws RequestError `unknown-pipeline`. */
  pipeline(name: string): configTypes.IPipeline {
    const pipeline = this.pipelines.get(name);
    if (!pipeline) {
      const message = `no pipeline "${name}"; there are: ${[...this.pipelines.keys()].join(', ')}`;
      throw notFound('unknown-pipeline', message, 'model');
    }
    return pipeline;
  }

  /** The route of a service call; throws RequestError `unknown-service` or `method-not-allowed`. */
  findService(name: string, method: string, path: string): IMatchedRoute {
    const service = this.services.get(name);
    if (!service) {
      const message = `no service "${name}"; there are: ${[...this.services.keys()].join(', ')}`;
      throw notFound('unknown-service', message, 'service');
    }
    const onPath = service.routes.filter((route) => matches(route.path, path));
    if (onPath.length === 0) {
      throw notFound('unknown-service', `service "${name}" declares no path ${path}`, 'path');
    }
    const route = onPath.find((candidate) => candidate.method === method);
    if (!route) {
      const allowed = onPath.map((candidate) => candidate.method).join(', ');
      throw notFound('method-not-allowed', `send ${allowed} to this path`, 'method');
    }
    return { service, route, pool: this.pool(service.pool) };
  }
}

function byName<T extends { readonly name: string }>(items: readonly T[]): ReadonlyMap<string, T> {
  return new Map(items.map((item) => [item.name, item]));
}

function declared<T>(item: T | undefined, name: string): T {
  if (item === undefined) {
    throw new Error(`the declaration refers to "${name}" and does not hold it`);
  }
  return item;
}

function matches(declaredPath: string, path: string): boolean {
  const wanted = declaredPath.split('/');
  const given = path.split('/');
  if (wanted.length !== given.length) {
    return false;
  }
  return wanted.every((part, index) => {
    const isParameter = part.startsWith('{') && part.endsWith('}');
    return isParameter ? given[index] !== '' : part === given[index];
  });
}

function notFound(
  code: 'unknown-pipeline' | 'unknown-service' | 'method-not-allowed',
  message: string,
  param: string,
): requestError.RequestError {
  return new requestError.RequestError(code, message, { run: 'not-run', param });
}
