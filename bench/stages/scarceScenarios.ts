/** Deployments on days whose bursts need more than a stage that their kinds of requests share. */
import * as scenarios from './scenarios.js';
import type * as types from './Types.js';

const { draw, service, stage } = scenarios;
const small = draw(1, 0, 1, 1, 0.3);
const few = draw(6, 0.4, 15);

/** Stages of a chain that begins at `first`, after `before` other stages of the request. */
function chain(names: readonly string[], before: number): types.IKind['stages'] {
  return [8000, 60_000, 6000].map((bytes, at) =>
    stage(names[at] as string, bytes, at === 0 ? [] : [before + at - 1]),
  );
}

const yard = ['yard', 'portal', 'loyalty'];
const feira = ['notify', 'ledger', 'map'];

/** The rota deployment on a calm day: two kinds burst one after the other, then all. */
export const ROTA_DAY: types.IScenario = {
  ...scenarios.rotaGrown,
  name: 'rota grown, calm day',
  bursts: [
    { kind: 'season-plan', fromMs: 3000, untilMs: 9000, factor: 2.96 },
    { kind: 'incident-summary', fromMs: 13_000, untilMs: 19_600, factor: 2.96 },
    { kind: undefined, fromMs: 25_000, untilMs: 29_000, factor: 1.84 },
  ],
};

/** The rota deployment with more requests of its most urgent kind than the last stage of their chain can serve. */
export const ROTA_SHORT: types.IScenario = {
  ...scenarios.rotaGrown,
  name: 'rota grown, too many urgent requests',
  bursts: [{ kind: 'incident-summary', fromMs: 0, untilMs: scenarios.LENGTH_MS, factor: 2.2 }],
};

/** Three kinds share `yard`, whose room for results binds. */
export const CORALWIND_DAY: types.IScenario = {
  name: 'coralwind, calm day',
  zones: 3,
  engines: 63,
  lengthMs: scenarios.LENGTH_MS,
  bursts: [
    { kind: 'agreement-draft', fromMs: 2800, untilMs: 9100, factor: 2.82 },
    { kind: 'counter-reply', fromMs: 15_000, untilMs: 21_600, factor: 3.1 },
    { kind: undefined, fromMs: 25_000, untilMs: 29_000, factor: 1.98 },
  ],
  services: [
    service('yard', 13, 21, 9.84762, 24.8182),
    service('portal', 11, 57, 3.57895, 6.27),
    service('loyalty', 11, 73, 2.81096, 0.797237),
  ],
  kinds: [
    {
      name: 'agreement-draft',
      perSecond: 60.4,
      goalMs: 1016,
      deadlineMs: 12_314,
      worth: 4.9,
      lateWorth: 0.73,
      priority: 0,
      stages: [stage('yard', 800_000)],
      items: [draw(2.5, 0.6, 10, 0.7)],
      tokens: 11_992,
      sharedTokens: 5382,
      subjects: 1515,
      runMs: 400,
    },
    {
      name: 'counter-reply',
      perSecond: 49.2,
      goalMs: 2211,
      deadlineMs: 12_058,
      worth: 1.7,
      lateWorth: 0.26,
      priority: 1,
      stages: chain(yard, 0),
      items: [small, draw(4), few],
      tokens: 826,
      sharedTokens: 198,
      subjects: 546,
      runMs: 300,
    },
    {
      name: 'damage-triage',
      perSecond: 134,
      goalMs: 2513,
      deadlineMs: 6031,
      worth: 0.25,
      lateWorth: 0.037,
      priority: 2,
      stages: [stage('yard', 800_000), ...chain(yard, 1)],
      items: [draw(1.5, 0.6, 6, 0.4), small, draw(4), few],
      tokens: 2368,
      sharedTokens: 568,
      subjects: 2239,
      runMs: 50,
    },
  ],
};

/** Three kinds share `notify`, whose calls bind: few items a call, and the most urgent kind asks for the largest. */
export const FEIRAVIVA_DAY: types.IScenario = {
  name: 'feiraviva, calm day',
  zones: 3,
  engines: 42,
  lengthMs: scenarios.LENGTH_MS,
  bursts: [
    { kind: 'harvest-digest', fromMs: 5400, untilMs: 12_100, factor: 2.4 },
    { kind: 'vendor-chat', fromMs: 15_000, untilMs: 21_500, factor: 2.5 },
    { kind: undefined, fromMs: 26_000, untilMs: 30_000, factor: 1.6 },
  ],
  services: [
    service('notify', 13, 10, 21, 12),
    service('ledger', 11, 27, 7.57037, 2.89286),
    service('map', 13, 33, 6.28485, 0.368824),
  ],
  kinds: [
    {
      name: 'harvest-digest',
      perSecond: 23.1,
      goalMs: 1219,
      deadlineMs: 15_243,
      worth: 6.2,
      lateWorth: 0.37,
      priority: 0,
      stages: [stage('notify', 800_000)],
      items: [draw(2.5, 0.6, 10, 0.7)],
      tokens: 11_992,
      sharedTokens: 5382,
      subjects: 345,
      runMs: 600,
    },
    {
      name: 'vendor-chat',
      perSecond: 52.1,
      goalMs: 2008,
      deadlineMs: 15_060,
      worth: 1,
      lateWorth: 0.15,
      priority: 1,
      stages: chain(feira, 0),
      items: [small, draw(4), few],
      tokens: 826,
      sharedTokens: 198,
      subjects: 671,
      runMs: 450,
    },
    {
      name: 'produce-tag',
      perSecond: 32.3,
      goalMs: 4010,
      deadlineMs: 6014,
      worth: 0.16,
      lateWorth: 0.036,
      priority: 2,
      stages: [stage('notify', 800_000), ...chain(feira, 1)],
      items: [draw(1.5, 0.6, 6, 0.4), small, draw(4), few],
      tokens: 2368,
      sharedTokens: 568,
      subjects: 1091,
      runMs: 50,
    },
  ],
};

/** Days on which requests of one kind wait for those of another. */
export const SCARCE_DAYS: readonly types.IScenario[] = [ROTA_DAY, CORALWIND_DAY, FEIRAVIVA_DAY];
