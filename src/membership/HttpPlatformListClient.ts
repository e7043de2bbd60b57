import * as http from 'node:http';
import * as zod from 'zod';
import * as responseEnd from '../common/wire/ResponseEnd.js';
import * as responseGuard from '../common/wire/ResponseGuard.js';
import type * as types from './Types.js';

const PATH = '/v1/vms';
const TIMEOUT_MS = 2_000;
/** Maximum size of a list: 20,000 VMs of about a hundred bytes each. */
const MAX_BYTES = 2_000_000;

const listSchema = zod.object({
  generation: zod.int().nonnegative(),
  vms: zod.array(zod.unknown()),
});

const vmSchema = zod.object({
  name: zod.string().min(1),
  address: zod.string(),
  state: zod.enum(['live', 'leaving']),
});

/** Reads the platform's list of VMs over HTTP; leaves out entries that are invalid. */
export class HttpPlatformListClient implements types.IPlatformListClient {
  /** Reads from the platform at `address` (`ip:port`). */
  constructor(private readonly address: string) {}

  /** @inheritdoc */
  async read(signal: AbortSignal): Promise<types.IPlatformList> {
    const text = await this.get(signal);
    const { generation, vms: entries } = listSchema.parse(JSON.parse(text));
    const vms = entries.flatMap((entry) => {
      const { data } = vmSchema.safeParse(entry);
      return data === undefined ? [] : [data];
    });
    return { generation, vms, invalid: entries.length - vms.length };
  }

  private get(signal: AbortSignal): Promise<string> {
    return new Promise((resolve, reject) => {
      const url = `http://${this.address}${PATH}`;
      const req = http.get(url, { signal, timeout: TIMEOUT_MS }, (res) => {
        const end = new responseEnd.ResponseEnd(res);
        const chunks: Buffer[] = [];
        let size = 0;
        res.on('data', (chunk: Buffer) => {
          size += chunk.length;
          chunks.push(chunk);
          if (size > MAX_BYTES) {
            req.destroy(new Error(`the platform list is longer than ${MAX_BYTES} bytes`));
          }
        });
        res.once('end', () => {
          if (end.isComplete) {
            resolve(Buffer.concat(chunks).toString('utf8'));
          } else {
            reject(new Error('the connection broke before the end of the platform list'));
          }
        });
        res.once('error', reject);
      });
      responseGuard.guardResponse(req);
      req.once('timeout', () => req.destroy(new Error('the platform did not answer in time')));
      req.once('error', reject);
    });
  }
}
