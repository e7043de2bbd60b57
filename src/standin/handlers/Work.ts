/** Steps that the handlers share. */
import * as crypto from 'node:crypto';
import type * as types from '../Types.js';

const DIGEST_HEX_CHARS = 8;
const PREFIX_HEX_CHARS = 16;

/** A body that cannot be used; becomes 400. */
export class BadCallError extends Error {}

/** The JSON object of a call's body. */
export function parseBody(call: types.ICall): Readonly<Record<string, unknown>> {
  try {
    const value: unknown = JSON.parse(call.body.toString());
    if (typeof value === 'object' && value !== null && !Array.isArray(value)) {
      return value as Readonly<Record<string, unknown>>;
    }
  } catch {
    // Falls through to the one error of a bad body.
  }
  throw new BadCallError('the body is no JSON object');
}

/** A short digest by which an answer shows whose it is. */
export function digestOf(value: unknown): string {
  const text = typeof value === 'string' ? value : JSON.stringify(value ?? null);
  return crypto.createHash('sha256').update(text).digest('hex').slice(0, DIGEST_HEX_CHARS);
}

/** The name of a prompt prefix: a hash of its first message's content. */
export function prefixOf(messages: unknown): string {
  const first: unknown = Array.isArray(messages) ? messages[0] : messages;
  const content = (first as { readonly content?: unknown } | undefined)?.content ?? first;
  const text = typeof content === 'string' ? content : JSON.stringify(content ?? null);
  return crypto.createHash('sha256').update(text).digest('hex').slice(0, PREFIX_HEX_CHARS);
}

/** Spends the time of a call's work before its first token; `scale` shortens or lengthens it. */
export async function spendService(
  ctx: types.IStandinContext,
  call: types.ICall,
  scale = 1,
): Promise<void> {
  const { options, faults } = ctx;
  const vary = 1 + options.jitter * (2 * ctx.random.next() - 1);
  const span = options.serviceMs * scale * vary * faults.stragglerFactor + faults.delayMs;
  if (span > 0) {
    await ctx.clock.sleep(span, call.signal);
  }
}
