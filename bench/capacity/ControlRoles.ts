/** The control VMs at the target size. */
import * as limits from '../../src/control/state/Limits.js';
import * as entryRole from './EntryRole.js';
import type * as figures from './Figures.js';
import * as mechanisms from './mechanisms.js';
import * as target from './target.js';
import type * as types from './Types.js';

const { TARGET, DERIVED } = target;
const { MECHANISMS } = mechanisms;
const LEDGER_LIFE_SECONDS = limits.LIMITS.ledgerRetentionMs / 1000;
const REPLICAS = 3;
const FOLLOWERS = REPLICAS - 1;

/** Non-repeatable calls a second, all regions. */
export function ledgerCalls(fig: figures.Figures): number {
  return TARGET.requestsPerSecond * fig.get('non-repeatable-share');
}

/** Bytes of heap that all ledger records take. */
export function ledgerHeap(fig: figures.Figures): number {
  return ledgerRecords(fig) * fig.get('ledger/heap-per-record');
}

/** Records that all ledger groups hold together. */
export function ledgerRecords(fig: figures.Figures): number {
  return ledgerCalls(fig) * LEDGER_LIFE_SECONDS;
}

/** Groups that a region needs so that none holds more than its heap allows. */
export function groupsPerRegion(fig: figures.Figures): number {
  return Math.ceil(ledgerHeap(fig) / TARGET.regions / fig.get('group-heap-bytes'));
}

function fanOutRow(fig: figures.Figures): types.IRow {
  const rate = DERIVED.changesPerSecond * TARGET.nodes;
  return {
    item: 'changes sent to every entry VM',
    messages: rate,
    bytes: rate * (fig.get('change/bytes') + fig.get('grpc/overhead-bytes')),
    cpu: rate * fig.seconds(fig.get('grpc/message-cpu')),
    memory: entryRole.declarationText(fig),
    mechanism: MECHANISMS.delta,
  };
}

function heartbeatsRow(fig: figures.Figures): types.IRow {
  const rate = TARGET.nodes / fig.get('heartbeat-seconds');
  return {
    item: 'heartbeats of every entry VM',
    messages: 2 * rate,
    bytes: rate * (fig.get('wire/heartbeat') + 2 * fig.get('grpc/overhead-bytes')),
    cpu: rate * fig.seconds(fig.get('grpc/message-cpu')),
    memory: 0,
    mechanism: MECHANISMS.heartbeat,
  };
}

function rollupsRow(fig: figures.Figures): types.IRow {
  const rate = TARGET.nodes / fig.get('accounting-seconds');
  const rows = rate * fig.get('accounting-rows');
  return {
    item: 'accounting rollups of every entry VM, logged',
    messages: rate * (2 + 2 * FOLLOWERS),
    bytes: rate * entryRole.reportBytes(fig) * (1 + FOLLOWERS),
    cpu: fig.seconds(rows * fig.get('wire/accounting-row-cpu') * (1 + FOLLOWERS)),
    memory: 0,
    mechanism: MECHANISMS.accounting,
  };
}

function changesRow(fig: figures.Figures): types.IRow {
  const rate = DERIVED.changesPerSecond;
  const text = entryRole.declarationText(fig);
  return {
    item: 'changes logged with their whole text',
    messages: rate * (2 + 2 * FOLLOWERS),
    bytes: rate * text * (1 + FOLLOWERS),
    cpu: rate * entryRole.declarationSeconds(fig),
    memory: 2 * text,
    mechanism: MECHANISMS.log,
  };
}

function catchUpRow(fig: figures.Figures): types.IRow {
  const rate = DERIVED.restartsPerSecond;
  return {
    item: 'restarted VMs fetch the whole text',
    messages: 2 * rate,
    bytes: rate * entryRole.declarationText(fig),
    cpu: rate * fig.seconds(fig.get('grpc/message-cpu')),
    memory: 0,
    mechanism: MECHANISMS.declaration,
  };
}

function ledgerRow(fig: figures.Figures, share: number, item: string): types.IRow {
  const rate = ledgerCalls(fig) * share;
  return {
    item,
    messages: rate * 4,
    bytes: rate * fig.get('wire/ledger-call') * (1 + FOLLOWERS),
    cpu: rate * fig.seconds(fig.get('ledger/apply-cpu') + 2 * fig.get('grpc/message-cpu')),
    memory: ledgerHeap(fig) * share,
    mechanism: MECHANISMS.ledger,
  };
}

const ONE_CORE: types.ILimit = {
  of: 'cpu',
  value: 1,
  source: 'one process of one event loop',
};

function heapLimit(fig: figures.Figures): types.ILimit {
  return {
    of: 'memory',
    value: fig.get('group-heap-bytes'),
    source: 'assumed heap of one replica',
  };
}

/** The leader as it is built today: one group for everything. */
export function leaderToday(fig: figures.Figures): types.IRole {
  return {
    name: 'Control leader, one group for all as built today',
    text: 'One group of three replicas would carry configuration, ledger and accounting of all regions.',
    rows: [
      changesRow(fig),
      fanOutRow(fig),
      heartbeatsRow(fig),
      rollupsRow(fig),
      catchUpRow(fig),
      ledgerRow(fig, 1, 'ledger calls of all regions'),
    ],
    limits: [ONE_CORE, heapLimit(fig)],
  };
}

/** A follower as it is built today. */
export function followerToday(fig: figures.Figures): types.IRole {
  const halve = (row: types.IRow): types.IRow => ({
    ...row,
    messages: row.messages / (1 + FOLLOWERS),
    bytes: row.bytes / (1 + FOLLOWERS),
    cpu: row.cpu / (1 + FOLLOWERS),
  });
  return {
    name: 'Control follower, as built today',
    text: 'Takes and applies what the leader logs: a third of its wire traffic and, as an assumption, of its processor time.',
    rows: [changesRow(fig), rollupsRow(fig), ledgerRow(fig, 1, 'ledger calls of all regions')].map(
      halve,
    ),
    limits: [ONE_CORE, heapLimit(fig)],
  };
}

/** The leader of one ledger group once they are split by region and key. */
export function groupLeader(fig: figures.Figures): types.IRole {
  const groups = TARGET.regions * groupsPerRegion(fig);
  return {
    name: `Leader of one of ${groups} ledger groups by region and key`,
    text: `${groupsPerRegion(fig)} groups of ${REPLICAS} replicas in each of ${TARGET.regions} regions, one replica in each availability zone.`,
    rows: [
      {
        ...ledgerRow(fig, 1 / groups, 'ledger calls of the group'),
        mechanism: MECHANISMS.regionGroups,
      },
    ],
    limits: [ONE_CORE, heapLimit(fig)],
  };
}

/** The relay of one availability zone, not built. */
export function zoneRelay(fig: figures.Figures): types.IRole {
  const nodes = DERIVED.nodesPerZone;
  const changes = DERIVED.changesPerSecond * nodes;
  const beats = nodes / fig.get('heartbeat-seconds');
  return {
    name: `Relay of one availability zone (${TARGET.zones} of them)`,
    text: 'Takes the changes once for its zone, passes them on and joins heartbeats and rollups.',
    rows: [
      {
        item: 'changes passed on',
        messages: changes,
        bytes: changes * (fig.get('change/bytes') + fig.get('grpc/overhead-bytes')),
        cpu: changes * fig.seconds(fig.get('grpc/message-cpu')),
        memory: entryRole.declarationText(fig),
        mechanism: MECHANISMS.tree,
      },
      {
        item: 'heartbeats joined',
        messages: 2 * beats,
        bytes: beats * (fig.get('wire/heartbeat') + 2 * fig.get('grpc/overhead-bytes')),
        cpu: beats * fig.seconds(fig.get('grpc/message-cpu')),
        memory: 0,
        mechanism: MECHANISMS.tree,
      },
    ],
    limits: [ONE_CORE],
  };
}

/** `anvildeckctl apply` of one operator. */
export function operatorTool(fig: figures.Figures): types.IRole {
  const text = entryRole.declarationText(fig);
  return {
    name: 'Operators’ tools',
    text: 'Every change of the day sent by apply with the whole text, all operators together.',
    rows: [
      {
        item: 'declarations sent',
        messages: 2 * DERIVED.changesPerSecond,
        bytes: DERIVED.changesPerSecond * text,
        cpu: DERIVED.changesPerSecond * entryRole.declarationSeconds(fig),
        memory: text,
        mechanism: MECHANISMS.tools,
      },
    ],
    limits: [],
  };
}

/** VMs for control once groups and relays are built. */
export function controlVms(fig: figures.Figures): number {
  return REPLICAS + TARGET.zones + TARGET.regions * groupsPerRegion(fig) * REPLICAS;
}
