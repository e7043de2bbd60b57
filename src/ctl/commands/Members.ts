/** `anvildeckctl members`: lists and changes the replicas of the control group. */
import type * as commander from 'commander';
import * as controlMethods from '../../common/wire/ControlMethods.js';
import * as session from '../Session.js';
import type * as types from '../Types.js';

const CHANGE_TIMEOUT_MS = 60_000;

async function listMembers(ctx: types.ICommandContext): Promise<void> {
  const { status } = await session.withControl(ctx, (client) => client.query({ status: {} }));
  status?.members.forEach(({ id, address, voter }) => {
    const role = id === status.leader ? 'leader' : roleName(voter);
    ctx.write(`${id}  ${address}  ${role}\n`);
  });
}

function roleName(voter: boolean): string {
  return voter ? 'voter' : 'learner';
}

async function changeMembership(
  action: string,
  id: string,
  address: string,
  ctx: types.ICommandContext,
): Promise<void> {
  const limits = { timeout: CHANGE_TIMEOUT_MS };
  const req = { action, id, address };
  await session.withControl(ctx, (client) =>
    client.call(controlMethods.METHODS.changeMembership, req, limits),
  );
  ctx.write(`${action} ${id}: done\n`);
}

/** Adds the command to the program. */
export function addMembers(program: commander.Command, ctx: types.ICommandContext): void {
  const members = program.command('members').description('replicas of the control group');
  members
    .command('list')
    .description('list the replicas')
    .action(() => listMembers(ctx));
  members
    .command('add')
    .description('add a replica as a learner')
    .argument('<id>', 'id of the new replica')
    .argument('<address>', 'ip:port where it listens')
    .action((id: string, address: string) => changeMembership('add-learner', id, address, ctx));
  members
    .command('promote')
    .description('give a learner that caught up its vote')
    .argument('<id>', 'id of the learner')
    .action((id: string) => changeMembership('promote', id, '', ctx));
  members
    .command('remove')
    .description('remove a replica')
    .argument('<id>', 'id of the replica')
    .action((id: string) => changeMembership('remove', id, '', ctx));
}
