/** Resolves the paths of the caller interface to routes. */
import * as requestError from '../../common/RequestError.js';

/** Route of a request, with the names taken from its path. */
export type CallerRoute =
  | { readonly kind: 'health' }
  | { readonly kind: 'ready' }
  | { readonly kind: 'pipeline'; readonly pipeline: string }
  | { readonly kind: 'chat' }
  | { readonly kind: 'embeddings' }
  | {
      readonly kind: 'service';
      readonly service: string;
      readonly path: string;
      readonly query: string;
    };

/** A route whose path has no parameters, with the method it allows. */
interface IFixedRoute {
  readonly method: string;
  readonly route: CallerRoute;
}

const PIPELINES_PREFIX = '/v1/pipelines/';
const SERVICES_PREFIX = '/v1/services/';

const FIXED_ROUTES: ReadonlyMap<string, IFixedRoute> = new Map([
  ['/healthz', { method: 'GET', route: { kind: 'health' } }],
  ['/readyz', { method: 'GET', route: { kind: 'ready' } }],
  ['/v1/chat/completions', { method: 'POST', route: { kind: 'chat' } }],
  ['/v1/embeddings', { method: 'POST', route: { kind: 'embeddings' } }],
]);

/**
 * Resolves a method and a URL (path and query) to a route.
 *
 * @throws RequestError `unknown-route` or `method-not-allowed`.
 * @example
 * findRoute('POST', '/v1/pipelines/summary'); // { kind: 'pipeline', pipeline: 'summary' }
 */
export function findRoute(method: string, url: string): CallerRoute {
  const queryIndex = url.indexOf('?');
  const path = queryIndex < 0 ? url : url.slice(0, queryIndex);
  const fixed = FIXED_ROUTES.get(path);
  if (fixed) {
    return requireMethod(method, fixed.method, fixed.route);
  }
  if (path.startsWith(PIPELINES_PREFIX)) {
    const pipeline = decodeSegment(path.slice(PIPELINES_PREFIX.length));
    return requireMethod(method, 'POST', { kind: 'pipeline', pipeline });
  }
  if (path.startsWith(SERVICES_PREFIX)) {
    return serviceRoute(path, queryIndex < 0 ? '' : url.slice(queryIndex));
  }
  throw new requestError.RequestError('unknown-route', `no route matches path ${path}`, {
    run: 'not-run',
    param: 'path',
  });
}

function serviceRoute(path: string, query: string): CallerRoute {
  const nameEnd = path.indexOf('/', SERVICES_PREFIX.length);
  const end = nameEnd < 0 ? path.length : nameEnd;
  const service = decodeSegment(path.slice(SERVICES_PREFIX.length, end));
  return { kind: 'service', service, path: path.slice(end + 1), query };
}

function decodeSegment(segment: string): string {
  try {
    return decodeURIComponent(segment);
  } catch {
    throw new requestError.RequestError('unknown-route', 'the path is not valid percent-encoding', {
      run: 'not-run',
      param: 'path',
    });
  }
}

function requireMethod(method: string, allowed: string, route: CallerRoute): CallerRoute {
  if (method !== allowed) {
    throw new requestError.RequestError('method-not-allowed', `send ${allowed} to this path`, {
      run: 'not-run',
      param: 'method',
    });
  }
  return route;
}
