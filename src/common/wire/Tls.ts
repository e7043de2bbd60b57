/** Mutual TLS between the processes of this system, from PEM files. Without TLS only loopback is allowed. */
import * as fs from 'node:fs';
import * as grpc from '@grpc/grpc-js';
import * as zod from 'zod';
import * as findingsError from '../FindingsError.js';
import type * as types from '../Types.js';

/** Settings table `[tls]`: paths of PEM files. */
export const tlsSchema = zod.strictObject({
  cert: zod.string().min(1),
  key: zod.string().min(1),
  ca: zod.string().min(1),
});

/** Paths of the PEM files: certificate, private key and certificate authority. */
export type TlsFiles = zod.infer<typeof tlsSchema>;

interface IPem {
  readonly cert: Buffer;
  readonly key: Buffer;
  readonly ca: Buffer;
}

/**
 * Returns whether an `ip:port` is a loopback address.
 *
 * @example
 * isLoopback('127.0.0.1:7000'); // true
 */
export function isLoopback(address: string): boolean {
  return /^127\.\d{1,3}\.\d{1,3}\.\d{1,3}:\d+$/.test(address) || /^\[::1\]:\d+$/.test(address);
}

/**
 * Returns a finding for each address outside loopback when there is no TLS.
 *
 * @example
 * findPlaintext('control.toml', [['listen', '10.0.0.1:7000']], undefined); // one finding
 */
export function findPlaintext(
  file: string,
  addresses: readonly (readonly [path: string, address: string])[],
  tls: TlsFiles | undefined,
): readonly types.IFinding[] {
  if (tls !== undefined) {
    return [];
  }
  return addresses
    .filter(([, address]) => !isLoopback(address))
    .map(([path, address]) => ({
      file,
      path,
      message: `${address} is not on loopback and there is no [tls]`,
      expected: 'a [tls] table with cert, key and ca, or an address on 127.0.0.1',
    }));
}

/** Creates the credentials of a gRPC server; plaintext without `tls`. Throws FindingsError for unreadable files. */
export function serverCredentials(tls: TlsFiles | undefined): grpc.ServerCredentials {
  if (tls === undefined) {
    return grpc.ServerCredentials.createInsecure();
  }
  const { ca, cert, key } = readPem(tls);
  return grpc.ServerCredentials.createSsl(ca, [{ private_key: key, cert_chain: cert }], true);
}

/** Creates the credentials of a gRPC client; plaintext without `tls`. Throws FindingsError for unreadable files. */
export function channelCredentials(tls: TlsFiles | undefined): grpc.ChannelCredentials {
  if (tls === undefined) {
    return grpc.credentials.createInsecure();
  }
  const { ca, cert, key } = readPem(tls);
  return grpc.credentials.createSsl(ca, key, cert);
}

function readPem(tls: TlsFiles): IPem {
  return {
    ca: readFile('ca', tls.ca),
    cert: readFile('cert', tls.cert),
    key: readFile('key', tls.key),
  };
}

function readFile(name: string, file: string): Buffer {
  try {
    return fs.readFileSync(file);
  } catch (err) {
    const message = `cannot be read (${(err as NodeJS.ErrnoException).code ?? 'unknown error'})`;
    const expected = 'the path of a readable PEM file';
    throw new findingsError.FindingsError([{ file, path: `tls.${name}`, message, expected }]);
  }
}
