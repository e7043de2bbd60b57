/** Generates one quarter of accounting from a seed, with a week without rows and a gap of one entry VM. */
import * as latencyBuckets from '../../common/LatencyBuckets.js';
import * as seededRandom from '../../common/SeededRandom.js';
import * as spans from '../Spans.js';
import type * as types from '../Types.js';

/** Quarter that contains all rows. */
export const SAMPLE_QUARTER = '2026-Q3';

/** First day (a Monday) of the week without rows. */
export const EMPTY_WEEK = '2026-08-10';

const QUARTER_START_MS = Date.UTC(2026, 6, 1);
const DAYS = 92;
const REQUESTS_PER_DAY = 400;
const EMPTY_DAYS = 7;

/** Targets of the kinds in the rows. */
export const SAMPLE_TARGETS: readonly types.IKindTarget[] = [
  { name: 'balance-lookup', attainmentTarget: 0.999, costTarget: 0.005 },
  { name: 'share-history', attainmentTarget: 0.99, costTarget: 6 },
  { name: 'audit-narrative', attainmentTarget: 0.995, costTarget: 25 },
];

interface IKindProfile {
  readonly kind: string;
  readonly latency: number;
  readonly stages: Readonly<Record<string, number>>;
}

const PROFILES: readonly IKindProfile[] = [
  { kind: 'balance-lookup', latency: 40, stages: { 'share-register': 0.001 } },
  {
    kind: 'share-history',
    latency: 2500,
    stages: { encoding: 0.01, retrieval: 0.02, reranking: 0.05, generation: 2.2 },
  },
  {
    kind: 'audit-narrative',
    latency: 30000,
    stages: { encoding: 0.01, retrieval: 0.03, reranking: 0.05, generation: 24.2 },
  },
];

function makeRows(
  profile: IKindProfile,
  period: number,
  workspace: string,
  random: seededRandom.SeededRandom,
): readonly types.IRollup[] {
  const failures = { late: random.nextInt(3), 'queue-full': random.nextInt(3), unknown: 0 };
  return Object.entries({ 'in-time': REQUESTS_PER_DAY, ...failures }).map(([outcome, count]) => {
    const latency = new Array<number>(latencyBuckets.LATENCY_BUCKET_COUNT).fill(0);
    for (let at = 0; at < count; at += 1) {
      const bucket = latencyBuckets.bucketOf(profile.latency * (0.4 + 2 * random.next() ** 2));
      latency[bucket] = (latency[bucket] ?? 0) + 1;
    }
    const attempts = outcome === 'queue-full' ? 0 : count;
    const costs = Object.entries(profile.stages).map(([stage, cost]) => ({
      stage,
      cost: cost * attempts,
      attempts,
    }));
    const target = profile.kind;
    const span = spans.DAY_MS;
    return { period, span, workspace, target, kind: profile.kind, outcome, count, latency, costs };
  });
}

/**
 * Generates the rows and the gap; the same seed gives the same accounting.
 *
 * @example
 * const report = makeReport(sampleAccounting(1), request);
 */
export function sampleAccounting(seed: number): types.IAccounting {
  const random = new seededRandom.SeededRandom(seed);
  const emptyWeekStart = Date.parse(`${EMPTY_WEEK}T00:00:00Z`);
  const days = Array.from({ length: DAYS }, (none, day) => QUARTER_START_MS + day * spans.DAY_MS);
  const recordedDays = days.filter(
    (day) => day < emptyWeekStart || day >= emptyWeekStart + EMPTY_DAYS * spans.DAY_MS,
  );
  const rows = recordedDays.flatMap((day) =>
    ['acme', 'zenith'].flatMap((workspace) =>
      PROFILES.flatMap((profile) => makeRows(profile, day, workspace, random)),
    ),
  );
  const gap = {
    name: 'entry-3',
    from: QUARTER_START_MS + spans.DAY_MS,
    to: QUARTER_START_MS + spans.DAY_MS + 5000,
  };
  return { rows, missing: [gap] };
}
