/** The demo of the Kommundata deployment. */
import * as declaration from '../kommundata/declaration.js';
import * as demoKeys from '../kommundata/DemoKeys.js';
import type * as types from './Types.js';

const [FIRST_WORKSPACE = ''] = Object.keys(demoKeys.DEMO_KEYS);
const RELEASE = { council: 'sundbyberg', release_number: '2026-118', title: 'Budget decision' };

/** Kommundata with its sizes of today. */
export const KOMMUNDATA: types.IDemoDeployment = {
  name: 'kommundata',
  poolSizes: declaration.POOL_SIZES,
  zones: ['mellansverige-a', 'mellansverige-b', 'mellansverige-c'],
  keys: demoKeys.DEMO_KEYS,
  engines: ['llm'],
  stages: ['encoders', 'retrievers', 'rerankers'],
  declaration: declaration.declaration,
  requests: [
    {
      title: 'catalogue lookup',
      kind: 'catalogue-lookup',
      workspace: FIRST_WORKSPACE,
      method: 'GET',
      path: '/v1/services/search-engine/catalogue/budget-2026',
    },
    {
      title: 'release registration',
      kind: 'release-registration',
      workspace: FIRST_WORKSPACE,
      method: 'POST',
      path: '/v1/services/publishing-core/releases',
      body: RELEASE,
    },
    {
      title: 'same release again',
      kind: 'release-registration',
      workspace: FIRST_WORKSPACE,
      method: 'POST',
      path: '/v1/services/publishing-core/releases',
      body: RELEASE,
      headers: { 'idempotency-key': 'a-second-click' },
    },
    {
      title: 'clerk summary',
      kind: 'clerk-summary',
      workspace: FIRST_WORKSPACE,
      method: 'POST',
      path: '/v1/pipelines/clerk-summary',
      body: { input: 'Summarise the decision on the 2026 budget', stream: true },
    },
    {
      title: 'metadata draft',
      kind: 'metadata-draft',
      workspace: FIRST_WORKSPACE,
      method: 'POST',
      path: '/v1/pipelines/metadata-draft',
      body: { input: 'Draft metadata for the school statistics of 2025' },
    },
    {
      title: 'citizen question',
      kind: 'citizen-question',
      workspace: FIRST_WORKSPACE,
      method: 'POST',
      path: '/v1/pipelines/citizen-question',
      body: { input: 'When is the new bridge opened?', stream: true },
    },
  ],
};
