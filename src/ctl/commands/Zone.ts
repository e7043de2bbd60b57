/** `anvildeckctl zone`: takes availability zones out of service and returns them. */
import type * as commander from 'commander';
import * as declarations from '../../config/Declaration.js';
import type * as controlClient from '../../control/client/ControlClient.js';
import * as session from '../Session.js';
import type * as types from '../Types.js';
import * as usageError from '../UsageError.js';
import * as versions from '../Versions.js';

interface IZoneOptions {
  readonly reason: string;
}

/** Number of endpoints in each availability zone that the declaration in force declares. */
async function countEndpoints(
  client: controlClient.ControlClient,
): Promise<ReadonlyMap<string, number>> {
  const { text } = await versions.fetchVersion(client, 0);
  const { pools, zones } = declarations.parseDeclaration('declaration', text);
  const counts = new Map(zones.map(({ name }) => [name, 0]));
  pools
    .flatMap(({ endpoints }) => endpoints)
    .forEach(({ zone }) => counts.set(zone, (counts.get(zone) ?? 0) + 1));
  return counts;
}

async function listZones(ctx: types.ICommandContext): Promise<void> {
  const [counts, answer] = await session.withControl(ctx, async (client) => [
    await countEndpoints(client),
    await client.query({ zones: {} }),
  ]);
  const closed = answer.zones?.zones ?? [];
  [...new Set([...counts.keys(), ...closed])].sort().forEach((zone) => {
    const state = closed.includes(zone) ? 'out of service' : 'in service';
    ctx.write(`${zone}  ${state.padEnd(14)}  ${counts.get(zone) ?? 0} endpoints\n`);
  });
}

async function orderZone(
  zone: string,
  closed: boolean,
  { reason }: IZoneOptions,
  ctx: types.ICommandContext,
): Promise<void> {
  await session.withControl(ctx, async (client) => {
    const counts = await countEndpoints(client);
    if (closed && !counts.has(zone)) {
      const known = [...counts.keys()].sort().join(', ');
      throw new usageError.UsageError(`no zone ${zone} is declared; zones: ${known}`);
    }
    await client.execute({ zoneOrder: { zone, closed, reason } });
  });
  ctx.write(closed ? `${zone} gets no new requests\n` : `${zone} gets requests again\n`);
}

/** Adds the command to the program. */
export function addZone(program: commander.Command, ctx: types.ICommandContext): void {
  const zone = program.command('zone').description('availability zones out of service');
  const addOrder = (name: string, description: string, closed: boolean): void => {
    zone
      .command(name)
      .description(description)
      .argument('<zone>', 'as list prints it')
      .requiredOption('--reason <text>', 'kept in the audit trail')
      .action((target: string, options: IZoneOptions) => orderZone(target, closed, options, ctx));
  };
  addOrder('drain', 'send no new requests to the endpoints of a zone', true);
  addOrder('restore', 'send requests to the endpoints of a zone again', false);
  zone
    .command('list')
    .description('list the zones, and which are out of service')
    .action(() => listZones(ctx));
}
