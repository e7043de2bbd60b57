/** Kinds of request of both deployments, as their declarations in examples/ have them. */
import type * as types from './Types.js';

const SECOND_MS = 1000;
const MINUTE_MS = 60 * SECOND_MS;

type Kind = Partial<types.IMixKind> &
  Pick<types.IMixKind, 'kind' | 'weight' | 'deadlineMs' | 'workspaces' | 'path'>;

function kindOf(kind: Kind): types.IMixKind {
  return { method: 'GET', body: () => undefined, stream: false, keyed: false, ...kind };
}

function pipelineKind(
  kind: string,
  pipeline: string,
  weight: number,
  deadlineMs: number,
  workspaces: readonly string[],
  ask: string,
  stream = false,
): types.IMixKind {
  return kindOf({
    kind,
    weight,
    deadlineMs,
    workspaces,
    stream,
    method: 'POST',
    path: () => `/v1/pipelines/${pipeline}`,
    body: (index) => ({ input: `${ask} ${index}`, stream }),
  });
}

const COOPERATIVES = ['batangas-fishers', 'dairy-cooperative', 'rice-growers', 'market-vendors'];
const AUDITORS = ['audit-office'];

const KALINAW: readonly types.IMixKind[] = [
  kindOf({
    kind: 'balance-lookup',
    weight: 70,
    deadlineMs: 800,
    workspaces: COOPERATIVES,
    path: (index) => `/v1/services/share-register/accounts/A-${index % 5000}/balance`,
  }),
  kindOf({
    kind: 'share-posting',
    weight: 15,
    deadlineMs: 3 * SECOND_MS,
    workspaces: COOPERATIVES,
    method: 'POST',
    path: () => '/v1/services/share-register/postings',
    body: (index) => ({ account: `A-${index % 5000}`, document_number: index, shares: 1 }),
  }),
  pipelineKind(
    'share-history',
    'share-history-summary',
    10,
    8 * SECOND_MS,
    COOPERATIVES,
    'Share history of member',
    true,
  ),
  pipelineKind(
    'audit-narrative',
    'audit-narrative',
    3,
    2 * MINUTE_MS,
    AUDITORS,
    'Reconcile the dividends of quarter',
  ),
  pipelineKind(
    'bulk-reconciliation',
    'reconciliation-narrative',
    2,
    10 * MINUTE_MS,
    AUDITORS,
    'Reconcile the ledger of branch',
  ),
];

const COUNCILS = ['norrsken-council', 'coastal-council', 'forest-council'];
const READERS = ['press-desk', 'open-data-portal'];

const KOMMUNDATA: readonly types.IMixKind[] = [
  kindOf({
    kind: 'catalogue-lookup',
    weight: 60,
    deadlineMs: SECOND_MS,
    workspaces: READERS,
    path: (index) => `/v1/services/search-engine/catalogue/E-${index % 5000}`,
  }),
  kindOf({
    kind: 'sign-in',
    weight: 10,
    deadlineMs: 2 * SECOND_MS,
    workspaces: COUNCILS,
    method: 'POST',
    path: () => '/v1/services/clerk-sign-in/sessions',
    body: (index) => ({ clerk: `clerk-${index % 200}` }),
  }),
  kindOf({
    kind: 'release-registration',
    weight: 8,
    deadlineMs: 3 * SECOND_MS,
    workspaces: COUNCILS,
    method: 'POST',
    path: () => '/v1/services/publishing-core/releases',
    body: (index) => ({ council: 'norrsken', release_number: index, title: `Decision ${index}` }),
  }),
  pipelineKind(
    'clerk-summary',
    'clerk-summary',
    10,
    8 * SECOND_MS,
    COUNCILS,
    'Summarise decision',
    true,
  ),
  pipelineKind(
    'citizen-question',
    'citizen-question',
    10,
    11 * SECOND_MS,
    READERS,
    'Explain data set',
    true,
  ),
  pipelineKind(
    'metadata-draft',
    'metadata-draft',
    2,
    MINUTE_MS,
    COUNCILS,
    'Draft metadata of release',
  ),
];

/** Kinds of each mix. */
export const MIXES: Readonly<Record<types.MixName, readonly types.IMixKind[]>> = {
  kalinaw: KALINAW,
  kommundata: KOMMUNDATA,
};
