import type * as http from 'node:http';

/**
 * Whether the sender of a request knows answers in chunks (RFC 9112, 6.1): HTTP/1.1. To others, a body whose length is not
 * known when its head is sent ends with the connection, and a process that ends closes its connections properly.
 */
export function takesChunks({ httpVersionMajor, httpVersionMinor }: http.IncomingMessage): boolean {
  return httpVersionMajor > 1 || (httpVersionMajor === 1 && httpVersionMinor >= 1);
}
