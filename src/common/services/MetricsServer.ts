import * as http from 'node:http';
import type * as commonTypes from '../Types.js';
import type * as metricsRegistry from './MetricsRegistry.js';

/** Serves the metrics of a process as text at `/metrics`. */
export class MetricsServer implements commonTypes.IDisposable {
  private readonly server: http.Server;

  /** Reads `registry` for each question; `refresh` sets gauges before. */
  constructor(registry: metricsRegistry.MetricsRegistry, refresh: () => void) {
    this.server = http.createServer((req, res) => {
      if (req.url !== '/metrics') {
        res.writeHead(404).end();
        return;
      }
      refresh();
      res.writeHead(200, { 'Content-Type': 'text/plain; version=0.0.4' });
      res.end(registry.render());
    });
  }

  /** Listens; `onFailed` is called when that can't be done, which stops nothing else. */
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
