import * as http from 'node:http';
import type * as net from 'node:net';
import type * as commonTypes from '../../common/Types.js';

/** HTTP service that counts how often each idempotency key ran. */
export class PostingService implements commonTypes.IDisposable {
  private readonly runs = new Map<string, number>();

  private readonly server = http.createServer((req, res) => {
    const key = String(req.headers['idempotency-key']);
    this.runs.set(key, this.runCount(key) + 1);
    req.resume();
    req.on('end', () => res.writeHead(201).end(`posted ${key}`));
  });

  /** Returns how often the key ran. */
  runCount(key: string): number {
    return this.runs.get(key) ?? 0;
  }

  /** Keys that ran more than once. */
  get duplicatedKeys(): readonly string[] {
    return [...this.runs].filter(([, count]) => count > 1).map(([key]) => key);
  }

  /** Listens on a free loopback port and resolves with the port. */
  start(): Promise<number> {
    return new Promise((resolve) => {
      this.server.listen(0, '127.0.0.1', () => {
        resolve((this.server.address() as net.AddressInfo).port);
      });
    });
  }

  /** @inheritdoc */
  dispose(): void {
    this.server.close();
    this.server.closeAllConnections();
  }
}
