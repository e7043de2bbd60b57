/** `anvildeckctl ledger`: lists and resolves ledger records of calls that must not run twice. */
import type * as control from '#wire/control.js';
import type * as commander from 'commander';
import type * as messages from '../../common/wire/Messages.js';
import * as session from '../Session.js';
import type * as types from '../Types.js';
import * as usage from '../UsageError.js';

const DEFAULT_LIMIT = '50';

type LedgerRecord = messages.Message<control.wire.LedgerRecord.$Properties>;

interface IListOptions {
  readonly state: string;
  readonly workspace: string;
  readonly limit: string;
}

interface IResolveOptions {
  readonly ran?: boolean;
  readonly notRun?: boolean;
  readonly reason: string;
}

function formatTime(millis: number): string {
  return millis === 0 ? '-' : new Date(millis).toISOString();
}

function formatLine(record: LedgerRecord): string {
  const { id, state, workspace, target, key } = record;
  return `${id}  ${state.padEnd(8)}  ${formatTime(record.beganAt)}  ${workspace}  ${target}  ${key}\n`;
}

function formatDetails(record: LedgerRecord): string {
  const { answer } = record;
  const bodyText = answer?.omitted
    ? `digest ${answer.sha256}`
    : `${answer?.body.length ?? 0} bytes kept`;
  const rows: readonly (readonly [string, string])[] = [
    ['id', record.id],
    ['state', record.state],
    ['workspace', record.workspace],
    ['target', record.target],
    ['key', record.key],
    ['request', record.requestId],
    ['entry', record.owner],
    ['began', formatTime(record.beganAt)],
    ['ended', formatTime(record.endedAt)],
    ['answer', answer === null ? '-' : `${answer.status}, ${answer.size} bytes, ${bodyText}`],
    ['resolved', record.resolvedBy === '' ? '-' : `${record.resolvedBy}: ${record.resolveReason}`],
  ];
  return rows.map(([name, value]) => `${name.padEnd(10)} ${value}\n`).join('');
}

async function listRecords(options: IListOptions, ctx: types.ICommandContext): Promise<void> {
  const { state, workspace, limit } = options;
  const ledgerList = { state, workspace, limit: Number(limit) };
  const { ledger } = await session.withControl(ctx, (client) => client.query({ ledgerList }));
  ledger?.records.forEach((record) => ctx.write(formatLine(record)));
  ctx.write(`${ledger?.records.length ?? 0} shown of ${ledger?.total ?? 0} records\n`);
}

async function showRecord(id: string, ctx: types.ICommandContext): Promise<void> {
  const query = { ledgerShow: { id } };
  const { ledger } = await session.withControl(ctx, (client) => client.query(query));
  ledger?.records.forEach((record) => ctx.write(formatDetails(record)));
}

async function resolveRecord(
  id: string,
  options: IResolveOptions,
  ctx: types.ICommandContext,
): Promise<void> {
  if (options.ran === options.notRun) {
    throw new usage.UsageError(
      'give exactly one of --ran and --not-run, by what the target shows about the call',
    );
  }
  const ledgerResolve = { id, ran: options.ran === true, reason: options.reason };
  await session.withControl(ctx, (client) => client.execute({ ledgerResolve }));
  ctx.write(options.ran === true ? `${id} is recorded as run\n` : `${id} is free to run again\n`);
}

async function forgetRecords(
  options: { readonly before: string; readonly reason: string },
  ctx: types.ICommandContext,
): Promise<void> {
  const before = Date.parse(options.before);
  if (Number.isNaN(before)) {
    throw new usage.UsageError('--before must be a date such as 2026-01-31');
  }
  const ledgerForget = { before, reason: options.reason };
  await session.withControl(ctx, (client) => client.execute({ ledgerForget }));
  ctx.write(`expired keys that ended before ${formatTime(before)} are new again\n`);
}

/** Adds the command to the program. */
export function addLedger(program: commander.Command, ctx: types.ICommandContext): void {
  const ledger = program.command('ledger').description('records of calls that may not repeat');
  ledger
    .command('list')
    .description('list records')
    .option('--state <state>', 'running, finished or unknown', '')
    .option('--workspace <name>', 'of one workspace', '')
    .option('--limit <count>', 'how many', DEFAULT_LIMIT)
    .action((options: IListOptions) => listRecords(options, ctx));
  ledger
    .command('show')
    .description('print one record')
    .argument('<id>', 'id as list prints it')
    .action((id: string) => showRecord(id, ctx));
  ledger
    .command('resolve')
    .description('end an unknown record by what you found at the target')
    .argument('<id>', 'id as list prints it')
    .option('--ran', 'the call ran: resends are told so')
    .option('--not-run', 'the call did not run: it may be sent again')
    .requiredOption('--reason <text>', 'how you know; kept in the audit trail')
    .action((id: string, options: IResolveOptions) => resolveRecord(id, options, ctx));
  ledger
    .command('forget')
    .description('drop expired keys of a closed period; a resend of one of them would run')
    .requiredOption('--before <date>', 'those that ended before this date')
    .requiredOption('--reason <text>', 'kept in the audit trail')
    .action((options: { before: string; reason: string }) => forgetRecords(options, ctx));
}
