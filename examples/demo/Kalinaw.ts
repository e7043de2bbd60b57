/** The demo of the Kalinaw deployment. */
import * as declaration from '../kalinaw/declaration.js';
import * as demoKeys from '../kalinaw/DemoKeys.js';
import type * as types from './Types.js';

const POSTING = { account: 'BF-0012', document_number: 4711, shares: 25 };

/** Kalinaw with its sizes of today. */
export const KALINAW: types.IDemoDeployment = {
  name: 'kalinaw',
  poolSizes: declaration.POOL_SIZES,
  zones: ['luzon-a', 'luzon-b', 'luzon-c', 'luzon-d'],
  keys: demoKeys.DEMO_KEYS,
  engines: ['llm'],
  stages: ['encoders', 'retrievers', 'rerankers'],
  declaration: declaration.declaration,
  requests: [
    {
      title: 'balance lookup',
      kind: 'balance-lookup',
      workspace: 'batangas-fishers',
      method: 'GET',
      path: '/v1/services/share-register/accounts/BF-0012/balance',
    },
    {
      title: 'share posting',
      kind: 'share-posting',
      workspace: 'batangas-fishers',
      method: 'POST',
      path: '/v1/services/share-register/postings',
      body: POSTING,
    },
    {
      title: 'same posting again',
      kind: 'share-posting',
      workspace: 'batangas-fishers',
      method: 'POST',
      path: '/v1/services/share-register/postings',
      body: POSTING,
      headers: { 'idempotency-key': 'a-second-click' },
    },
    {
      title: 'share-history summary',
      kind: 'share-history',
      workspace: 'dairy-cooperative',
      method: 'POST',
      path: '/v1/pipelines/share-history-summary',
      body: { input: 'Share history of member 204 since 2019', stream: true },
    },
    {
      title: 'audit narrative',
      kind: 'audit-narrative',
      workspace: 'audit-office',
      method: 'POST',
      path: '/v1/pipelines/audit-narrative',
      body: { input: 'Reconcile the dividends of the last quarter' },
    },
  ],
};
