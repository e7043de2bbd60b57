/** Kalinaw's member share registry: balances, postings, summaries and audit reports. */
import * as declare from 'anvildeck/declare';
import * as addressing from '../Addresses.js';
import * as keyHashes from './KeyHashes.js';

/** Endpoints of each pool today. */
export const POOL_SIZES = {
  encoders: 4,
  retrievers: 4,
  rerankers: 4,
  llm: 8,
  'share-register': 4,
  'officers-portal': 4,
  'teller-desk': 4,
  'audit-export': 4,
} as const;

/** Entry VMs in front of the endpoints. */
export const ENTRY_VMS = 12;

const FIRST_PORT = 9100;

/** Where the endpoints listen when nothing else is said. */
export const DEFAULT_ADDRESSES = addressing.loopback(POOL_SIZES, FIRST_PORT);

/** Fleet costs per endpoint second; one unit is a second of a model replica. */
const COST = { encoder: 0.1, retriever: 0.05, reranker: 0.15, replica: 1, service: 0.02 } as const;

const SUMMARY_TOKENS = 300;
const AUDIT_TOKENS = 900;
const RECONCILIATION_TOKENS = 1500;

const zones = declare.zones('luzon', ['luzon-a', 'luzon-b', 'luzon-c', 'luzon-d']);

const balanceLookup = declare.interactive('balance-lookup', {
  deadlineMs: 800,
  attainmentTarget: 0.999,
  costTarget: 0.005,
});

const sharePosting = declare.interactive('share-posting', {
  deadlineMs: declare.seconds(3),
  attainmentTarget: 0.999,
  costTarget: 0.01,
});

const portalPage = declare.interactive('portal-page', {
  deadlineMs: declare.seconds(2),
  attainmentTarget: 0.99,
  costTarget: 0.01,
});

const shareHistory = declare.interactive('share-history', {
  deadlineMs: declare.seconds(8),
  attainmentTarget: 0.99,
  costTarget: 6,
});

const auditNarrative = declare.patient('audit-narrative', {
  deadlineMs: declare.minutes(2),
  attainmentTarget: 0.995,
  costTarget: 25,
});

const bulkReconciliation = declare.patient('bulk-reconciliation', {
  deadlineMs: declare.minutes(10),
  attainmentTarget: 0.995,
  costTarget: 40,
});

function workspace(name: string, share: number): declare.IWorkspace {
  return declare.workspace(name, { share, keys: keyHashes.KEY_HASHES[name] ?? [] });
}

/** Five workspaces, the first two large. */
const workspaces = [
  workspace('batangas-fishers', 4),
  workspace('dairy-cooperative', 4),
  workspace('rice-growers', 2),
  workspace('market-vendors', 1),
  workspace('audit-office', 2),
];

function endpoints(addresses: addressing.Addresses, pool: string, prefix: string) {
  return declare.endpoints(prefix, { addresses: addressing.addressesOf(addresses, pool), zones });
}

function stagePools(addresses: addressing.Addresses) {
  return {
    encoders: declare.pool('encoders', 'encoding', {
      endpoints: endpoints(addresses, 'encoders', 'encoder'),
      costPerSecond: COST.encoder,
    }),
    retrievers: declare.pool('retrievers', 'retrieval', {
      endpoints: endpoints(addresses, 'retrievers', 'retriever'),
      costPerSecond: COST.retriever,
    }),
    rerankers: declare.pool('rerankers', 'reranking', {
      endpoints: endpoints(addresses, 'rerankers', 'reranker'),
      costPerSecond: COST.reranker,
    }),
    llm: declare.pool('llm', 'generation', {
      endpoints: declare.endpoints('llm', {
        addresses: addressing.addressesOf(addresses, 'llm'),
        zones,
        checksFencing: true,
      }),
      resumable: true,
      costPerSecond: COST.replica,
    }),
  };
}

function pipelines(pools: ReturnType<typeof stagePools>): readonly declare.IPipeline[] {
  const encode = declare.encoding({ pool: pools.encoders });
  const retrieve = declare.retrieval({ pool: pools.retrievers });
  const rerank = declare.reranking({ pool: pools.rerankers });
  const generate = (maxTokens: number) => declare.generation({ pool: pools.llm, maxTokens });
  return [
    declare.pipeline('share-history-summary', {
      kind: shareHistory,
      stages: [encode, retrieve, rerank, generate(SUMMARY_TOKENS)],
    }),
    declare.pipeline('audit-narrative', {
      kind: auditNarrative,
      stages: [encode, retrieve, rerank, generate(AUDIT_TOKENS)],
    }),
    declare.pipeline('reconciliation-narrative', {
      kind: bulkReconciliation,
      stages: [encode, retrieve, generate(RECONCILIATION_TOKENS)],
    }),
  ];
}

function servicePools(addresses: addressing.Addresses) {
  const pool = (name: string) =>
    declare.pool(name, 'service', {
      endpoints: endpoints(addresses, name, name),
      costPerSecond: COST.service,
    });
  return {
    register: pool('share-register'),
    portal: pool('officers-portal'),
    desk: pool('teller-desk'),
    audit: pool('audit-export'),
  };
}

function services(pools: ReturnType<typeof servicePools>): readonly declare.IService[] {
  return [
    declare.service('share-register', {
      pool: pools.register,
      routes: [
        declare.repeatable('GET', 'accounts/{account}/balance', balanceLookup),
        declare.atMostOnce('POST', 'postings', sharePosting, ['account', 'document_number']),
      ],
    }),
    declare.service('officers-portal', {
      pool: pools.portal,
      routes: [declare.repeatable('GET', 'members/{member}', portalPage)],
    }),
    declare.service('teller-desk', {
      pool: pools.desk,
      routes: [declare.repeatable('GET', 'counters/{counter}/queue', balanceLookup)],
    }),
    declare.service('audit-export', {
      pool: pools.audit,
      routes: [
        declare.repeatable('GET', 'exports/{export}', portalPage),
        // No field names an export: callers send an Idempotency-Key header.
        declare.atMostOnce('POST', 'exports', sharePosting),
      ],
    }),
  ];
}

/**
 * The whole declaration with its endpoints at the given addresses.
 *
 * @example
 * declare.print(declaration());
 */
export function declaration(
  addresses: addressing.Addresses = DEFAULT_ADDRESSES,
): declare.IDeclaration {
  const stages = stagePools(addresses);
  const plain = servicePools(addresses);
  return declare.declaration({
    name: 'kalinaw',
    zones,
    workspaces,
    kinds: [
      balanceLookup,
      sharePosting,
      portalPage,
      shareHistory,
      auditNarrative,
      bulkReconciliation,
    ],
    pools: [...Object.values(stages), ...Object.values(plain)],
    pipelines: pipelines(stages),
    services: services(plain),
  });
}
