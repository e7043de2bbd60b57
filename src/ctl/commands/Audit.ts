/** `anvildeckctl audit`: lists the audit trail of operator actions. */
import type * as commander from 'commander';
import * as session from '../Session.js';
import type * as types from '../Types.js';

const DEFAULT_LIMIT = '50';

async function listEntries(
  options: { readonly limit: string },
  ctx: types.ICommandContext,
): Promise<void> {
  const query = { audit: { limit: Number(options.limit) } };
  const { audit } = await session.withControl(ctx, (client) => client.query(query));
  audit?.entries.forEach(({ time, operator, action, subject, reason }) => {
    ctx.write(`${new Date(time).toISOString()}  ${operator}  ${action}  ${subject}  ${reason}\n`);
  });
}

/** Adds the command to the program. */
export function addAudit(program: commander.Command, ctx: types.ICommandContext): void {
  program
    .command('audit')
    .description('list what operators did to ledger, quarantine and engines, newest first')
    .option('--limit <count>', 'how many', DEFAULT_LIMIT)
    .action((options: { limit: string }) => listEntries(options, ctx));
}
