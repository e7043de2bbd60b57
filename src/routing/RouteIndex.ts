import type * as types from './Types.js';

/** A request's key was looked up: the workspace, or why there is none. */
export type KeyMatch = types.IWorkspaceKeys | 'unknown-key' | 'no-keys';

/**
 * Finds the route and the workspace of a request in one version of the configuration.
 *
 * @example
 * const route = new RouteIndex(table).find('api.example', '/a/b/c');
 */
export class RouteIndex {
  private readonly hosts = new Map<string, types.IRoute[]>();

  private readonly keys = new Map<string, types.IWorkspaceKeys>();

  /** Indexes `table`. */
  constructor(readonly table: types.IRoutingTable) {
    table.routes.forEach((route) => {
      const routes = this.hosts.get(route.host) ?? [];
      routes.push(route);
      this.hosts.set(route.host, routes);
    });
    this.hosts.forEach((routes) => routes.sort((a, b) => b.prefix.length - a.prefix.length));
    table.workspaces?.forEach((workspace) => {
      workspace.keys.forEach((key) => this.keys.set(key, workspace));
    });
  }

  /** The route of the host with the longest prefix that begins the path. */
  find(host: string, path: string): types.IRoute | undefined {
    return this.hosts.get(host)?.find((route) => path.startsWith(route.prefix));
  }

  /** The workspace that holds `key`; `no-keys` when the configuration has no workspaces. */
  findWorkspace(key: string | undefined): KeyMatch {
    if (this.table.workspaces === undefined) {
      return 'no-keys';
    }
    return (key === undefined ? undefined : this.keys.get(key)) ?? 'unknown-key';
  }

  /** Chooses a target of a route by weight; `draw` is in [0, 1). */
  static chooseService(route: types.IRoute, draw: number): string {
    const total = route.targets.reduce((sum, target) => sum + target.weight, 0);
    let left = draw * total;
    const chosen = route.targets.find((target) => {
      left -= target.weight;
      return left < 0;
    });
    return (chosen ?? route.targets.at(-1))?.service ?? '';
  }
}
