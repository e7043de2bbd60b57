import type * as types from './Types.js';

/**
 * Result of a key lookup: the workspace; `unknown-key` if no workspace has the key or the request has none; or
 * `no-keys` if the configuration declares no workspaces.
 */
export type KeyMatch = types.IWorkspaceKeys | 'unknown-key' | 'no-keys';

/**
 * Looks up the route and the workspace of a request in one version of the configuration.
 *
 * @example
 * const route = new RouteIndex(table).find('api.example', '/a/b/c');
 */
export class RouteIndex {
  private readonly routesByHost = new Map<string, types.IRoute[]>();

  private readonly workspacesByKey = new Map<string, types.IWorkspaceKeys>();

  /** Builds the index; `table` must not change afterwards. */
  constructor(readonly table: types.IRoutingTable) {
    table.routes.forEach((route) => {
      const routes = this.routesByHost.get(route.host) ?? [];
      routes.push(route);
      this.routesByHost.set(route.host, routes);
    });
    this.routesByHost.forEach((routes) => routes.sort((a, b) => b.prefix.length - a.prefix.length));
    table.workspaces?.forEach((workspace) => {
      workspace.keys.forEach((key) => this.workspacesByKey.set(key, workspace));
    });
  }

  /** Returns the route of `host` with the longest prefix of `path`; undefined if none matches. */
  find(host: string, path: string): types.IRoute | undefined {
    return this.routesByHost.get(host)?.find((route) => path.startsWith(route.prefix));
  }

  /** Returns the workspace to which `key` belongs, or the reason why there is none. */
  findWorkspace(key: string | undefined): KeyMatch {
    if (this.table.workspaces === undefined) {
      return 'no-keys';
    }
    return (key === undefined ? undefined : this.workspacesByKey.get(key)) ?? 'unknown-key';
  }

  /**
   * Chooses a target of a route by weight and returns the name of its service; empty if the route has no target.
   * `random` is a uniformly distributed number in [0, 1).
   */
  static chooseService(route: types.IRoute, random: number): string {
    const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
    let remaining = random * total;
    const chosen = route.targets.find((target) => {
      remaining -= target.weight;
      return remaining < 0;
    });
    return (chosen ?? route.targets.at(-1))?.service ?? '';
  }
}
