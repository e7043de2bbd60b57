/** The first users' deployments with stages, as their sheets give them, and loads that bind them. */
import type * as routing from '../../src/routing/Types.js';
import type * as types from './Types.js';

const CALL_COST_MS = 240;
const RESULT_LIFE_MS = 4000;
const MB = 1_000_000;
/** Length of each scenario. */
export const LENGTH_MS = 34_000;

/** A stage service whose endpoints run one call at a time. */
export function service(
  name: string,
  endpoints: number,
  items: number,
  itemCost: number,
  roomMb: number,
  callCost = CALL_COST_MS,
): types.IStageService {
  const limits: routing.IBatchLimits = {
    maxConcurrentCalls: 1,
    maxItemsPerCall: items,
    callCost,
    itemCost,
    resultCapacityBytes: roomMb * MB,
    resultRetention: RESULT_LIFE_MS,
  };
  return { name, endpoints, limits };
}

/** Draws of a number of items; by default always the mean. */
export function draw(mean: number, spread = 0, max = mean, share = 1, work = 1): types.IItemDraw {
  return { mean, spread, max, share, work };
}

/** A stage with results of `resultBytes`, after those at the positions `after`. */
export function stage(
  name: string,
  resultBytes: number,
  after: readonly number[] = [],
): routing.IStage {
  return { service: name, after, resultBytes };
}

const small = draw(1, 0, 1, 1, 0.3);
const ranked = draw(6, 0.4, 15);

const kalinaw: types.IScenario = {
  name: 'kalinaw',
  zones: 4,
  engines: 8,
  lengthMs: LENGTH_MS,
  bursts: [
    { kind: 'audit-narrative', fromMs: 6000, untilMs: 11_600, factor: 2.4 },
    { kind: 'member-summary', fromMs: 13_000, untilMs: 18_900, factor: 2.5 },
    { kind: undefined, fromMs: 25_000, untilMs: 29_000, factor: 1.7 },
  ],
  services: [
    service('portal', 4, 7, 29.7, 8.4),
    service('desk', 4, 12, 17.5, 1.37),
    service('export', 4, 19, 10.9, 0.216),
  ],
  kinds: [
    {
      name: 'audit-narrative',
      perSecond: 6.85,
      goalMs: 1400,
      deadlineMs: 15_000,
      worth: 3.9,
      lateWorth: 0.58,
      priority: 1,
      stages: [stage('portal', 800_000)],
      items: [draw(2.5, 0.6, 10, 0.7)],
      tokens: 6610,
      sharedTokens: 5382,
      subjects: 76,
      runMs: 700,
    },
    {
      name: 'member-summary',
      perSecond: 6.21,
      goalMs: 2000,
      deadlineMs: 20_000,
      worth: 1.7,
      lateWorth: 0.26,
      priority: 0,
      stages: [stage('portal', 8000), stage('desk', 60_000, [0]), stage('export', 6000, [1])],
      items: [small, draw(4), ranked],
      tokens: 628,
      sharedTokens: 198,
      subjects: 105,
      runMs: 500,
    },
    {
      name: 'entry-classify',
      perSecond: 8.73,
      goalMs: 2200,
      deadlineMs: 6000,
      worth: 0.43,
      lateWorth: 0.065,
      priority: 2,
      stages: [
        stage('portal', 800_000),
        stage('portal', 8000),
        stage('desk', 60_000, [1]),
        stage('export', 6000, [2]),
      ],
      items: [draw(1.5, 0.6, 6, 0.4), small, draw(4), ranked],
      tokens: 1800,
      sharedTokens: 568,
      subjects: 147,
      runMs: 60,
    },
  ],
};

const norrsken: types.IScenario = {
  name: 'norrsken',
  zones: 3,
  engines: 6,
  lengthMs: LENGTH_MS,
  bursts: [
    { kind: 'protokoll-resume', fromMs: 2100, untilMs: 8900, factor: 2.5 },
    { kind: 'medborgar-fraga', fromMs: 16_000, untilMs: 21_900, factor: 2.5 },
    { kind: undefined, fromMs: 27_000, untilMs: 31_000, factor: 1.7 },
  ],
  services: [
    service('login', 3, 6, 34.7, 7.2),
    service('search', 4, 19, 10.9, 2.07),
    service('notice', 4, 14, 14.9, 0.1575),
  ],
  kinds: [
    {
      name: 'protokoll-resume',
      perSecond: 3.96,
      goalMs: 2700,
      deadlineMs: 20_000,
      worth: 5.7,
      lateWorth: 0.85,
      priority: 0,
      stages: [
        stage('login', 800_000),
        stage('login', 8000),
        stage('search', 60_000, [1]),
        stage('notice', 6000, [2]),
      ],
      items: [draw(1.5, 0.6, 6, 0.4), small, draw(8), ranked],
      tokens: 6610,
      sharedTokens: 5382,
      subjects: 66,
      runMs: 600,
    },
    {
      name: 'medborgar-fraga',
      perSecond: 7.05,
      goalMs: 2700,
      deadlineMs: 15_000,
      worth: 1,
      lateWorth: 0.15,
      priority: 1,
      stages: [stage('login', 8000), stage('search', 60_000, [0]), stage('notice', 6000, [1])],
      items: [small, draw(8), ranked],
      tokens: 628,
      sharedTokens: 198,
      subjects: 178,
      runMs: 400,
    },
    {
      name: 'metadata-forslag',
      perSecond: 6.04,
      goalMs: 2800,
      deadlineMs: 4000,
      worth: 0.4,
      lateWorth: 0.06,
      priority: 2,
      stages: [stage('login', 800_000)],
      items: [draw(2.5, 0.6, 10, 0.7)],
      tokens: 1800,
      sharedTokens: 568,
      subjects: 68,
      runMs: 60,
    },
  ],
};

const rotaCall = 150;
const crewItems = draw(16, 0.4, 40);

/** A deployment with short goals, many endpoints and little room for results. */
export const rotaGrown: types.IScenario = {
  name: 'rota grown',
  zones: 3,
  engines: 62,
  lengthMs: LENGTH_MS,
  bursts: [
    { kind: 'season-plan', fromMs: 6000, untilMs: 11_600, factor: 2.2 },
    { kind: 'incident-summary', fromMs: 17_000, untilMs: 22_900, factor: 2.2 },
  ],
  services: [
    service('registry', 13, 14, 9.2, 81, rotaCall),
    service('notices', 11, 59, 2.20678, 10.4677, rotaCall),
    service('log', 11, 98, 1.27347, 1.73542, rotaCall),
  ],
  kinds: [
    {
      name: 'season-plan',
      perSecond: 132,
      goalMs: 705,
      deadlineMs: 6131,
      worth: 3.2,
      lateWorth: 0.48,
      priority: 1,
      stages: [stage('registry', 3_000_000)],
      items: [draw(2.5, 0.6, 10, 0.7)],
      tokens: 2890,
      sharedTokens: 6300,
      subjects: 1933,
      runMs: 150,
    },
    {
      name: 'incident-summary',
      perSecond: 151,
      goalMs: 1308,
      deadlineMs: 5031,
      worth: 1.8,
      lateWorth: 0.27,
      priority: 0,
      stages: [stage('registry', 8000), stage('notices', 60_000, [0]), stage('log', 6000, [1])],
      items: [small, draw(8), crewItems],
      tokens: 1800,
      sharedTokens: 568,
      subjects: 2223,
      runMs: 150,
    },
    {
      name: 'crew-chat',
      perSecond: 20.5,
      goalMs: 1306,
      deadlineMs: 15_074,
      worth: 2.3,
      lateWorth: 0.34,
      priority: 2,
      stages: [
        stage('registry', 3_000_000),
        stage('registry', 8000),
        stage('notices', 60_000, [1]),
        stage('log', 6000, [2]),
      ],
      items: [draw(1.5, 0.6, 6, 0.4), small, draw(8), crewItems],
      tokens: 543,
      sharedTokens: 172,
      subjects: 200,
      runMs: 600,
    },
  ],
};

const kalinawLarge: types.IScenario = {
  ...kalinaw,
  name: 'kalinaw large',
  zones: 6,
  engines: 82,
  bursts: [],
  services: [
    service('portal', 24, 8, 26, 9.6),
    service('desk', 24, 16, 13, 1.8),
    service('export', 29, 20, 10, 0.22),
  ],
  kinds: kalinaw.kinds.map((kind, at) => ({
    ...kind,
    perSecond: [52.1, 31.7, 77.3][at] as number,
    goalMs: [1419, 2008, 2010][at] as number,
    subjects: [584, 533, 1304][at] as number,
  })),
};

/** The large deployment as it is played: all callers' workspaces have a priority of their own. */
function kalinawLargeDay(
  name: string,
  factor: number,
  bursts: readonly types.IBurst[],
): types.IScenario {
  return {
    ...kalinawLarge,
    name: `kalinaw large, ${name}`,
    workspaces: [
      { share: 0.22, priority: 0 },
      { share: 0.78, priority: 1 },
    ],
    kinds: kalinawLarge.kinds.map((kind, at) => ({
      ...kind,
      perSecond: kind.perSecond * factor,
      deadlineMs: [13_900, 13_700, 5500][at] as number,
      worth: [3.5, 2.2, 0.34][at] as number,
      lateWorth: [0.53, 0.33, 0.051][at] as number,
    })),
    bursts,
  };
}

/** The large deployment on a calm day. */
export const CALM_DAY = kalinawLargeDay('calm day', 0.87, [
  { kind: 'audit-narrative', fromMs: 3900, untilMs: 9900, factor: 2.5 },
  { kind: 'member-summary', fromMs: 14_000, untilMs: 20_900, factor: 2.4 },
  { kind: undefined, fromMs: 26_000, untilMs: 30_000, factor: 1.6 },
]);

/** The large deployment on a day with a quarter more load. */
export const BUSY_DAY = kalinawLargeDay('busy day', 1.1, [
  { kind: 'audit-narrative', fromMs: 4100, untilMs: 10_600, factor: 2.4 },
  { kind: 'member-summary', fromMs: 15_000, untilMs: 20_200, factor: 2.1 },
  { kind: undefined, fromMs: 26_000, untilMs: 30_000, factor: 1.7 },
]);

/** The large deployment on its days. */
export const LARGE_DAYS: readonly types.IScenario[] = [CALM_DAY, BUSY_DAY];

/** The larger deployments on a day without bursts of load but those named. */
export const LARGE_SCENARIOS: readonly types.IScenario[] = [rotaGrown, kalinawLarge];

/** The deployments with the bursts of a day. */
export const SCENARIOS: readonly types.IScenario[] = [kalinaw, norrsken];

/** A deployment `factor` times as large with as many times the load, in the same zones. */
export function grown(scenario: types.IScenario, factor: number): types.IScenario {
  return {
    ...scenario,
    name: `${scenario.name} grown x${factor}`,
    engines: scenario.engines * factor,
    services: scenario.services.map((each) => ({ ...each, endpoints: each.endpoints * factor })),
    kinds: scenario.kinds.map((kind) => ({ ...kind, perSecond: kind.perSecond * factor })),
  };
}

/** A scenario under a constant load that is `factor` times its own. */
export function loaded(scenario: types.IScenario, factor: number): types.IScenario {
  const bursts = [{ kind: undefined, fromMs: 0, untilMs: scenario.lengthMs, factor }];
  return { ...scenario, name: `${scenario.name} x${factor}`, bursts };
}
