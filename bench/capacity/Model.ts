/** Works out the capacity page from slopes, assumptions and the target figures. */
import * as limits from '../../src/control/state/Limits.js';
import * as controlRoles from './ControlRoles.js';
import * as entryRole from './EntryRole.js';
import type * as figures from './Figures.js';
import * as format from './format.js';
import * as mechanisms from './mechanisms.js';
import * as target from './target.js';
import type * as types from './Types.js';

const { TARGET, DERIVED } = target;

/** Load on a node while its region has lost one of three availability zones. */
const ZONE_LOST_LOAD = 1.5;

/** What a row sums to. */
export interface ITotals {
  readonly messages: number;
  readonly bytes: number;
  readonly cpu: number;
  readonly memory: number;
}

/** The sum of a role's rows. */
export function totalsOf(role: types.IRole): ITotals {
  return role.rows.reduce<ITotals>(
    (sum, row) => ({
      messages: sum.messages + row.messages,
      bytes: sum.bytes + row.bytes,
      cpu: sum.cpu + row.cpu,
      memory: sum.memory + row.memory,
    }),
    { messages: 0, bytes: 0, cpu: 0, memory: 0 },
  );
}

/** Limits that the sum of a role breaks. */
export function brokenLimits(role: types.IRole): readonly types.ILimit[] {
  const totals = totalsOf(role);
  return role.limits.filter((limit) => totals[limit.of] > limit.value);
}

function roles(fig: figures.Figures): readonly types.IRole[] {
  return [
    entryRole.entryControl(fig),
    entryRole.entryServing(fig, 1, 'Entry VM, requests at the peak'),
    entryRole.entryServing(fig, ZONE_LOST_LOAD, 'Entry VM, requests while its region lacks a zone'),
    controlRoles.leaderToday(fig),
    controlRoles.followerToday(fig),
    controlRoles.zoneRelay(fig),
    controlRoles.groupLeader(fig),
    controlRoles.operatorTool(fig),
  ];
}

function verdictOf(role: types.IRole): 'meets' | 'breaks' {
  return brokenLimits(role).length === 0 ? 'meets' : 'breaks';
}

/** Milliseconds from apply to the last entry VM, the text read again at each step. */
function changeMillis(fig: figures.Figures): number {
  const sends = TARGET.nodes * fig.seconds(fig.get('grpc/message-cpu'));
  const reads = 3 * entryRole.declarationSeconds(fig);
  return 2 * fig.get('region-round-trip-ms') + 1000 * (sends + reads);
}

function controlLine(role: types.IRole, serving: types.IRole): types.ILetterLine {
  const totals = totalsOf(role);
  const reports = `${format.bytes(totalsOf(serving).bytes)}/s of load reports that ride on answers is not counted`;
  const answer = `${format.percent(totals.cpu)} of a core, ${format.bytes(totals.memory)}, ${format.bytes(totals.bytes)}/s a node; ${reports}`;
  return {
    figure: 'for control 1.8% of a core, 64 MB, 6 KB/s a node',
    answer,
    verdict: verdictOf(role),
  };
}

function changeLine(fig: figures.Figures): types.ILetterLine {
  const millis = changeMillis(fig);
  return {
    figure: `${format.count(TARGET.changesPerDay)} changes a day, in force within 10 s`,
    answer: `${format.number(DERIVED.changesPerSecond)}/s in the mean; ${format.number(millis / 1000)} s from apply to the last of ${TARGET.nodes} nodes when all are reachable`,
    verdict: millis <= TARGET.changeInForceMs ? 'meets' : 'breaks',
  };
}

function declarationLine(text: number): types.ILetterLine {
  const limit = limits.LIMITS.declarationChars;
  return {
    figure: 'a declaration of that size is accepted',
    answer: `it has ${format.bytes(text)}; control refuses one of more than ${format.bytes(limit)} (src/control/state/Limits.ts)`,
    verdict: text <= limit ? 'meets' : 'breaks',
  };
}

function ledgerLine(fig: figures.Figures): types.ILetterLine {
  const records = controlRoles.ledgerRecords(fig);
  const limit = limits.LIMITS.ledgerRecords;
  const perSecond = (limit * 1000) / limits.LIMITS.ledgerRetentionMs;
  return {
    figure: 'non-repeatable calls of a day are remembered',
    answer: `${format.count(records)} records at the assumed share; one group holds ${format.count(limit)}, which is ${format.number(perSecond)} calls a second, and refuses more`,
    verdict: records <= limit ? 'meets' : 'breaks',
  };
}

function letterOf(
  fig: figures.Figures,
  [control, serving, zoneLost, leader]: readonly types.IRole[],
): readonly types.ILetterLine[] {
  if (!control || !serving || !zoneLost || !leader) {
    throw new RangeError('the page lacks a role');
  }
  const vms = controlRoles.controlVms(fig);
  const text = entryRole.declarationText(fig);
  const burst = DERIVED.nodesPerZone * text;
  return [
    {
      figure: `${TARGET.nodes} nodes before ${format.count(TARGET.replicas)} replicas on ${format.count(TARGET.accelerators)} accelerators`,
      answer: `the declaration is ${format.bytes(text)} of text; ${format.number(DERIVED.nodesPerRegion)} nodes and ${format.number(DERIVED.replicasPerRegion)} replicas a region`,
      verdict: verdictOf(leader),
    },
    declarationLine(text),
    ledgerLine(fig),
    {
      figure: `${format.count(TARGET.requestsPerSecond)} requests and 40 M tokens a second`,
      answer: `${format.number(DERIVED.requestsPerNode)} requests and ${format.count(DERIVED.tokensPerNode)} tokens a second a node: ${format.percent(totalsOf(serving).cpu)} of a core`,
      verdict: verdictOf(serving),
    },
    {
      figure: 'the first token within 1.7 s, 76 ms between tokens for 95 in 100',
      answer: `reading a changed declaration holds the event loop of a node for ${format.number(1000 * entryRole.declarationSeconds(fig))} ms, ${format.number(DERIVED.changesPerSecond)} times a second`,
      verdict: 1000 * entryRole.declarationSeconds(fig) <= TARGET.tokenGapMs ? 'meets' : 'breaks',
    },
    {
      figure: '8 pipelines of three to six stages, deadlines of 11 s',
      answer: `${format.count((DERIVED.requestsPerNode * TARGET.deadlineMs) / 1000)} requests in flight a node when each takes its whole deadline: ${format.bytes(totalsOf(serving).memory)}`,
      verdict: 'meets',
    },
    {
      figure: '220 workspaces and 34 models in steady use',
      answer: `${format.bytes(fig.get('declaration/text-per-workspace') * TARGET.workspaces)} of text for workspaces; neighbours exchange usage by workspace; whether shares hold over ${TARGET.nodes} VMs was not measured`,
      verdict: 'not measured',
    },
    {
      figure: '6 regions with 18 availability zones',
      answer: 'groups by region and relays by zone are the plan; one control group stands today',
      verdict: 'not built',
    },
    changeLine(fig),
    controlLine(control, serving),
    {
      figure: '60 VMs at most for control',
      answer: `${vms} VMs: 3 for configuration, ${TARGET.zones} relays, ${controlRoles.groupsPerRegion(fig)} ledger groups of 3 in each region`,
      verdict: vms <= TARGET.controlVms ? 'meets' : 'breaks',
    },
    {
      figure: '120 VM failures and 550 restarts or replacements a day',
      answer: `one each ${format.number(1 / DERIVED.restartsPerSecond)} s; each fetches ${format.bytes(text)}, ${format.bytes(DERIVED.restartsPerSecond * text)}/s in the mean`,
      verdict: 'meets',
    },
    {
      figure: 'a rack or switch every week',
      answer: 'replicas of a group belong in different zones; nothing checks that they do',
      verdict: 'not built',
    },
    {
      figure: 'an availability zone every other month',
      answer: `the rest of the region takes ${ZONE_LOST_LOAD}× the load: ${format.percent(totalsOf(zoneLost).cpu)} of a core a node; ${format.number(DERIVED.nodesPerZone)} nodes return together and fetch ${format.bytes(burst)}`,
      verdict: verdictOf(zoneLost),
    },
    {
      figure: 'regions lose each other for an hour now and then',
      answer:
        'entry VMs go on with the configuration they hold; a region without the quorum takes no posting, registration or change for that hour',
      verdict: 'not built',
    },
  ];
}

/**
 * Works out everything that the page shows.
 *
 * @example
 * const capacity = computeCapacity(new Figures(slopes, ASSUMPTIONS));
 */
export function computeCapacity(fig: figures.Figures): types.ICapacity {
  const all = roles(fig);
  return {
    letter: letterOf(fig, all),
    roles: all,
    mechanisms: Object.values(mechanisms.MECHANISMS),
  };
}
