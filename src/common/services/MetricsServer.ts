import * as http from 'node:http';
import * as serverGuard from '../memory/ServerGuard.js';
import type * as commonTypes from '../Types.js';
import type * as metricsRegistry from './MetricsRegistry.js';

/** Time for a whole request; none has a body. */
const REQUEST_TIMEOUT_MS = 2000;
const GUARD = { door: 'metrics', maxConnections: 16 };

/** HTTP server that serves the metrics of a process at `/metrics` in the Prometheus text format. */
export class MetricsServer implements commonTypes.IDisposable {
  private readonly server: http.Server;

  /** Renders `registry` for each request, after `refresh` has updated its gauges. */
  constructor(registry: metricsRegistry.MetricsRegistry, refresh: () => void) {
    this.server = http.createServer(serverGuard.guardedOptions(REQUEST_TIMEOUT_MS), (req, res) => {
      serverGuard.closeIfAhead(req, res);
      if (serverGuard.announcesBody(req)) {
        res.setHeader('Connection', 'close');
      }
      if (req.url !== '/metrics') {
        res.writeHead(404).end();
        return;
      }
      refresh();
      const page = Buffer.from(registry.render());
      res.writeHead(200, {
        'Content-Type': 'text/plain; version=0.0.4',
        'Content-Length': page.length,
      });
      res.end(page);
    });
    serverGuard.guardServer(this.server, GUARD, registry);
  }

  /** Starts to listen. `onFailed` is called when that fails; the process continues without metrics. */
  listen(host: string, port: number, onFailed: (err: Error) => void): void {
    this.server.on('error', onFailed);
    this.server.listen({ host, port });
    this.server.unref();
  }

  /** @inheritdoc */
  dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
