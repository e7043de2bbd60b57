/** Waits until a version of the declaration is in force on all live entry VMs. */
import type * as controlClient from '../control/client/ControlClient.js';
import type * as types from './Types.js';

const POLL_INTERVAL_MS = 200;
const MS_PER_SECOND = 1000;

/**
 * Polls the control group until every live entry VM has the version, or a newer one, in force. Prints the result.
 *
 * @param seconds - Time limit; after it, the entry VMs with an older version are printed.
 * @returns False when the time limit passed first.
 */
export async function waitUntilInForce(
  client: controlClient.ControlClient,
  version: number,
  seconds: number,
  ctx: types.ICommandContext,
): Promise<boolean> {
  const deadline = ctx.clock.monotonic() + seconds * MS_PER_SECOND;
  for (;;) {
    const answer = await client.query({ entries: {} });
    const entries = answer.entries?.entries ?? [];
    const behind = entries.filter((entry) => entry.versionInForce < version);
    if (behind.length === 0) {
      ctx.write(`in force on ${entries.length} entry VMs\n`);
      return true;
    }
    if (ctx.clock.monotonic() >= deadline) {
      const names = behind.map(({ name, versionInForce }) => `${name} (has ${versionInForce})`);
      const currentCount = entries.length - behind.length;
      ctx.write(
        `in force on ${currentCount} of ${entries.length} entry VMs; not on ${names.join(', ')}\n`,
      );
      return false;
    }
    await ctx.clock.sleep(POLL_INTERVAL_MS);
  }
}
