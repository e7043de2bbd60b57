/** Free ports on loopback. */
import * as net from 'node:net';

/** Ports that were free just now, all different. */
export async function freePorts(count: number): Promise<readonly number[]> {
  const servers = Array.from({ length: count }, () => net.createServer());
  const ports = await Promise.all(servers.map(listen));
  await Promise.all(servers.map(close));
  return ports;
}

function listen(server: net.Server): Promise<number> {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(0, '127.0.0.1', () => {
      resolve((server.address() as net.AddressInfo).port);
    });
  });
}

function close(server: net.Server): Promise<void> {
  return new Promise((resolve) => {
    server.close(() => resolve());
  });
}
