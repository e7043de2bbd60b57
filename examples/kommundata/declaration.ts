/** Kommundata's open data portal: catalogue, releases, and answers to clerks, journalists and citizens. */
import * as declare from 'anvildeck/declare';
import * as addressing from '../Addresses.js';
import * as keyHashes from './KeyHashes.js';

/** Endpoints of each pool today. */
export const POOL_SIZES = {
  encoders: 3,
  retrievers: 3,
  rerankers: 3,
  llm: 6,
  'publishing-core': 3,
  'clerk-sign-in': 3,
  'search-engine': 4,
  'notice-mailer': 4,
} as const;

/** Entry VMs in front of the endpoints. */
export const ENTRY_VMS = 12;

const FIRST_PORT = 9200;

/** Where the endpoints listen when nothing else is said. */
export const DEFAULT_ADDRESSES = addressing.loopback(POOL_SIZES, FIRST_PORT);

/** Fleet costs per endpoint second; one unit is a second of a model replica. */
const COST = { encoder: 0.1, retriever: 0.05, reranker: 0.15, replica: 1, service: 0.02 } as const;

const SUMMARY_TOKENS = 250;
const METADATA_TOKENS = 400;
const ANSWER_TOKENS = 200;

const zones = declare.zones('mellansverige', [
  'mellansverige-a',
  'mellansverige-b',
  'mellansverige-c',
]);

const catalogueLookup = declare.interactive('catalogue-lookup', {
  deadlineMs: declare.seconds(1),
  attainmentTarget: 0.99,
  costTarget: 0.005,
});

const releaseRegistration = declare.interactive('release-registration', {
  deadlineMs: declare.seconds(3),
  attainmentTarget: 0.999,
  costTarget: 0.01,
});

const signIn = declare.interactive('sign-in', {
  deadlineMs: declare.seconds(2),
  attainmentTarget: 0.99,
  costTarget: 0.005,
});

/** The hard floor: a clerk who gets it late cannot answer in time. */
const clerkSummary = declare.interactive('clerk-summary', {
  deadlineMs: declare.seconds(8),
  attainmentTarget: 0.999,
  costTarget: 5,
});

const citizenQuestion = declare.interactive('citizen-question', {
  deadlineMs: declare.seconds(11),
  attainmentTarget: 0.97,
  costTarget: 3,
});

const metadataDraft = declare.patient('metadata-draft', {
  deadlineMs: declare.minutes(1),
  attainmentTarget: 0.98,
  costTarget: 6,
});

function workspace(name: string, share: number): declare.IWorkspace {
  return declare.workspace(name, { share, keys: keyHashes.KEY_HASHES[name] ?? [] });
}

/** Five workspaces, the first and the last large. */
const workspaces = [
  workspace('norrsken-council', 4),
  workspace('coastal-council', 2),
  workspace('forest-council', 1),
  workspace('press-desk', 2),
  workspace('open-data-portal', 4),
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
    // These engines do not check fencing numbers: orders to them wait out the old lease.
    llm: declare.pool('llm', 'generation', {
      endpoints: endpoints(addresses, 'llm', 'llm'),
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
    declare.pipeline('clerk-summary', {
      kind: clerkSummary,
      stages: [encode, retrieve, rerank, generate(SUMMARY_TOKENS)],
    }),
    declare.pipeline('metadata-draft', {
      kind: metadataDraft,
      stages: [encode, retrieve, generate(METADATA_TOKENS)],
    }),
    declare.pipeline('citizen-question', {
      kind: citizenQuestion,
      stages: [encode, retrieve, rerank, generate(ANSWER_TOKENS)],
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
    publishing: pool('publishing-core'),
    signIn: pool('clerk-sign-in'),
    search: pool('search-engine'),
    mailer: pool('notice-mailer'),
  };
}

function services(pools: ReturnType<typeof servicePools>): readonly declare.IService[] {
  return [
    declare.service('publishing-core', {
      pool: pools.publishing,
      routes: [
        declare.repeatable('GET', 'releases/{release}', catalogueLookup),
        declare.atMostOnce('POST', 'releases', releaseRegistration, ['council', 'release_number']),
      ],
    }),
    declare.service('clerk-sign-in', {
      pool: pools.signIn,
      routes: [declare.repeatable('POST', 'sessions', signIn)],
    }),
    declare.service('search-engine', {
      pool: pools.search,
      routes: [declare.repeatable('GET', 'catalogue/{entry}', catalogueLookup)],
    }),
    declare.service('notice-mailer', {
      pool: pools.mailer,
      // No field names a notice: callers send an Idempotency-Key header.
      routes: [declare.atMostOnce('POST', 'notices', releaseRegistration)],
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
    name: 'kommundata',
    zones,
    workspaces,
    kinds: [
      catalogueLookup,
      releaseRegistration,
      signIn,
      clerkSummary,
      citizenQuestion,
      metadataDraft,
    ],
    pools: [...Object.values(stages), ...Object.values(plain)],
    pipelines: pipelines(stages),
    services: services(plain),
  });
}
