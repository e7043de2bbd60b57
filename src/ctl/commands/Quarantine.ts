/** `anvildeckctl quarantine`: lists and releases requests that crashed endpoints. */
import type * as commander from 'commander';
import * as session from '../Session.js';
import type * as types from '../Types.js';

async function listRequests(ctx: types.ICommandContext): Promise<void> {
  const answer = await session.withControl(ctx, (client) => client.query({ quarantine: {} }));
  const requests = answer.quarantine?.requests ?? [];
  requests.forEach(({ fingerprint, state, time, endpoints }) => {
    const when = new Date(time).toISOString();
    ctx.write(`${fingerprint}  ${state.padEnd(11)}  ${when}  ${endpoints.join(' ')}\n`);
  });
  ctx.write(`${requests.length} requests\n`);
}

async function liftQuarantine(
  fingerprint: string,
  options: { readonly reason: string },
  ctx: types.ICommandContext,
): Promise<void> {
  const quarantineLift = { fingerprint, reason: options.reason };
  await session.withControl(ctx, (client) => client.execute({ quarantineLift }));
  ctx.write(`${fingerprint} may run again\n`);
}

/** Adds the command to the program. */
export function addQuarantine(program: commander.Command, ctx: types.ICommandContext): void {
  const quarantine = program
    .command('quarantine')
    .description('requests that crashed the endpoints that ran them');
  quarantine
    .command('list')
    .description('list suspects and quarantined requests')
    .action(() => listRequests(ctx));
  quarantine
    .command('lift')
    .description('let a request run again')
    .argument('<fingerprint>', 'as list prints it')
    .requiredOption('--reason <text>', 'kept in the audit trail')
    .action((fingerprint: string, options: { reason: string }) =>
      liftQuarantine(fingerprint, options, ctx),
    );
}
