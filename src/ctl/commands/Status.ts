/** `anvildeckctl status`: summarises the state of the deployment. */
import * as cliTable from 'cli-table3';
import type * as commander from 'commander';
import type * as control from '#wire/control.js';
import type * as commonTypes from '../../common/Types.js';
import type * as messages from '../../common/wire/Messages.js';
import * as declarations from '../../config/Declaration.js';
import type * as configTypes from '../../config/Types.js';
import type * as controlClient from '../../control/client/ControlClient.js';
import * as rejected from '../../control/client/RejectedError.js';
import * as session from '../Session.js';
import type * as types from '../Types.js';
import * as usage from '../UsageError.js';
import * as versions from '../Versions.js';

const { default: Table } = cliTable;
const DEFAULT_INTERVAL_SECONDS = '2';
const MS_PER_SECOND = 1000;
/** ANSI sequence that clears the terminal and moves the cursor to the top left. */
const CLEAR_SCREEN = '\u001b[2J\u001b[H';

type Message<T> = messages.Message<T>;

/** State of the deployment; `--json` prints it under these field names. */
export interface IStatus {
  readonly now: commonTypes.Millis;
  readonly control: Message<control.wire.Status.$Properties>;
  readonly entries: readonly Message<control.wire.EntryStatus.$Properties>[];
  readonly quarantine: Message<control.wire.Quarantine.$Properties>;
  readonly orders: readonly Message<control.wire.Order.$Properties>[];
  /** The declaration in force; undefined before the first version. */
  readonly declaration: configTypes.IDeclaration | undefined;
}

interface IStatusOptions {
  readonly watch?: boolean;
  readonly json?: boolean;
  readonly interval: string;
}

async function fetchDeclaration(
  client: controlClient.ControlClient,
): Promise<configTypes.IDeclaration | undefined> {
  try {
    const { text, version } = await versions.fetchVersion(client, 0);
    return declarations.parseDeclaration(`version ${version}`, text);
  } catch (err) {
    if (err instanceof rejected.RejectedError) {
      return undefined;
    }
    throw err;
  }
}

function requireAnswer<T>(value: T | null): T {
  if (value === null) {
    throw new Error('the answer of the control group lacks the queried state');
  }
  return value;
}

/**
 * Queries the control group for everything that the status shows; the queries run one after the other.
 *
 * @throws ControlUnavailableError, RejectedError.
 * @example
 * ctx.write(renderStatus(await fetchStatus(client, clock.now())));
 */
export async function fetchStatus(
  client: controlClient.ControlClient,
  now: commonTypes.Millis,
): Promise<IStatus> {
  const { status } = await client.query({ status: {} });
  const { entries } = await client.query({ entries: {} });
  const { quarantine } = await client.query({ quarantine: {} });
  const { orders } = await client.query({ orders: {} });
  return {
    now,
    control: requireAnswer(status),
    entries: requireAnswer(entries).entries,
    quarantine: requireAnswer(quarantine),
    orders: requireAnswer(orders).orders,
    declaration: await fetchDeclaration(client),
  };
}

function renderTable(head: readonly string[], rows: readonly (readonly string[])[]): string {
  const result = new Table({ head: [...head], style: { head: [], border: [] } });
  rows.forEach((row) => result.push([...row]));
  return result.toString();
}

function controlLines(status: IStatus): readonly string[] {
  const { control: group } = status;
  const members = group.members.map(({ id, address, voter }) => [
    id,
    address,
    id === group.leader ? 'leader' : (voter && 'voter') || 'learner',
  ]);
  return [
    `control group: leader ${group.leader || 'none'}, term ${group.term}, log applied to ${group.appliedIndex}`,
    renderTable(['replica', 'address', 'role'], members),
    `ledger: ${group.ledgerRecords} records, ${group.ledgerUnknown} of unknown outcome`,
  ];
}

function entryLines(status: IStatus): readonly string[] {
  const currentVersion = status.control.configurationVersion;
  const byName = [...status.entries].sort((a, b) => a.name.localeCompare(b.name));
  const rows = byName.map((entry) => {
    const leaseLeftSeconds = (entry.leaseUntil - status.now) / MS_PER_SECOND;
    const behindMark = entry.versionInForce === currentVersion ? '' : ' (behind)';
    return [
      entry.name,
      entry.zone,
      leaseLeftSeconds > 0 ? `live, lease ${leaseLeftSeconds.toFixed(1)} s` : 'lease over',
      `${entry.versionInForce}${behindMark}`,
    ];
  });
  const currentCount = status.entries.filter(
    ({ versionInForce }) => versionInForce === currentVersion,
  ).length;
  return [
    `entry VMs: version ${currentVersion} in force on ${currentCount} of ${status.entries.length}`,
    renderTable(['entry VM', 'availability zone', 'state', 'version in force'], rows),
  ];
}

function poolLines(declaration: configTypes.IDeclaration | undefined): readonly string[] {
  if (declaration === undefined) {
    return ['no declaration in force yet'];
  }
  const rows = declaration.pools.map(({ name, kind, endpoints }) => [
    name,
    kind,
    String(endpoints.length),
    [...new Set(endpoints.map(({ zone }) => zone))].join(' '),
  ]);
  return [
    `declaration ${declaration.name}: ${declaration.workspaces.length} workspaces`,
    renderTable(['pool', 'kind', 'endpoints', 'availability zones'], rows),
  ];
}

function countBy(values: readonly string[]): string {
  const names = [...new Set(values)];
  const parts = names.map((name) => `${values.filter((item) => item === name).length} ${name}`);
  return parts.length === 0 ? 'none' : parts.join(', ');
}

/**
 * Renders the status as text with tables.
 *
 * @example
 * ctx.write(renderStatus(status));
 */
export function renderStatus(status: IStatus): string {
  const requests = status.quarantine.requests.map(({ state }) => state);
  const lines = [
    ...controlLines(status),
    ...entryLines(status),
    ...poolLines(status.declaration),
    `requests that crashed endpoints: ${countBy(requests)}`,
    `orders to engines: ${countBy(status.orders.map(({ state }) => state))}`,
  ];
  return `${lines.join('\n')}\n`;
}

async function printStatus(options: IStatusOptions, ctx: types.ICommandContext): Promise<void> {
  const intervalMs = Number(options.interval) * MS_PER_SECOND;
  if (!(intervalMs > 0)) {
    throw new usage.UsageError('--interval must be a number of seconds greater than 0');
  }
  await session.withControl(ctx, async (client) => {
    for (;;) {
      const status = await fetchStatus(client, ctx.clock.now());
      const text = options.json === true ? `${JSON.stringify(status)}\n` : renderStatus(status);
      if (options.watch !== true) {
        ctx.write(text);
        return;
      }
      ctx.write(options.json === true ? text : `${CLEAR_SCREEN}${text}`);
      await ctx.clock.sleep(intervalMs);
    }
  });
}

/** Adds the command to the program. */
export function addStatus(program: commander.Command, ctx: types.ICommandContext): void {
  program
    .command('status')
    .description('VMs, versions in force, pools, ledger, quarantine and orders at a glance')
    .option('--watch', 'refresh until interrupted')
    .option('--interval <seconds>', 'between two refreshes', DEFAULT_INTERVAL_SECONDS)
    .option('--json', 'print as JSON')
    .action((options: IStatusOptions) => printStatus(options, ctx));
}
