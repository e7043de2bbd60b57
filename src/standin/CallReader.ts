/** Reads calls of the endpoint protocol off the wire. */
import type * as http from 'node:http';
import * as settings from './StandinSettings.js';
import type * as types from './Types.js';
import * as work from './handlers/Work.js';

const MAX_BODY_BYTES = 16 * 1024 * 1024;

function headerText(req: http.IncomingMessage, name: string): string | undefined {
  const value = req.headers[name];
  return typeof value === 'string' ? value : undefined;
}

async function readBody(req: http.IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of req) {
    const bytes = chunk as Buffer;
    size += bytes.length;
    if (size > MAX_BODY_BYTES) {
      throw new work.BadCallError('the body is too large');
    }
    chunks.push(bytes);
  }
  return Buffer.concat(chunks);
}

/** Reads one call whole; `signal` aborts when its connection closes. */
export async function readCall(
  req: http.IncomingMessage,
  signal: AbortSignal,
): Promise<types.ICall> {
  const budget = headerText(req, 'x-anvildeck-budget-ms');
  return {
    method: req.method ?? 'GET',
    path: (req.url ?? '/').split('?')[0] ?? '/',
    id: headerText(req, 'x-request-id') ?? '',
    headers: req.headers,
    body: await readBody(req),
    budget: budget === undefined ? undefined : Number(budget),
    signal,
  };
}

/** The priority of a call; higher runs first. */
export function readPriority(call: types.ICall): number {
  const value = Number(call.headers['x-anvildeck-priority'] ?? 0);
  return Number.isFinite(value) ? value : 0;
}

/** The checked change of fault switches that a call carries. */
export function parseFaults(call: types.ICall): Partial<types.IStandinFaults> {
  const parsed = settings.faultsSchema.safeParse(work.parseBody(call));
  if (!parsed.success) {
    const faults = parsed.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`);
    throw new work.BadCallError(faults.join('; '));
  }
  return settings.toFaultChange(parsed.data);
}
