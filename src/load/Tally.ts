import * as hdr from 'hdr-histogram-js';
import type * as types from './Types.js';

const HIGHEST_MS = 3_600_000;

interface IKindCounts {
  readonly latency: hdr.Histogram;
  readonly outcomes: Map<string, number>;
}

/** Counts the ends of requests by kind; bounded by kinds and codes, not by requests. */
export class Tally {
  private readonly kinds = new Map<string, IKindCounts>();

  private unsent = 0;

  /** Adds the end of one request. */
  add(end: types.IRequestEnd): void {
    const counts = this.countsOf(end.kind);
    counts.outcomes.set(end.outcome, (counts.outcomes.get(end.outcome) ?? 0) + 1);
    if (end.outcome === 'in-time' || end.outcome === 'late') {
      counts.latency.recordValue(Math.min(HIGHEST_MS, Math.max(1, Math.round(end.latency))));
    }
  }

  /** Adds a request that was not sent because too many were in flight. */
  addUnsent(): void {
    this.unsent += 1;
  }

  /** What was counted, kinds in order of their names. */
  result(variant: string, seed: number): types.IVariantResult {
    const names = [...this.kinds.keys()].sort();
    const kinds = names.map((kind) => resultOf(kind, this.countsOf(kind)));
    return { variant, seed, kinds, unsent: this.unsent };
  }

  private countsOf(kind: string): IKindCounts {
    const counts = this.kinds.get(kind) ?? {
      latency: hdr.build({ highestTrackableValue: HIGHEST_MS }),
      outcomes: new Map<string, number>(),
    };
    this.kinds.set(kind, counts);
    return counts;
  }
}

function resultOf(kind: string, counts: IKindCounts): types.IKindResult {
  const { outcomes, latency } = counts;
  const sent = [...outcomes.values()].reduce((sum, count) => sum + count, 0);
  const inTime = outcomes.get('in-time') ?? 0;
  const late = outcomes.get('late') ?? 0;
  const refused = [...outcomes].filter(([outcome]) => outcome !== 'in-time' && outcome !== 'late');
  const at = (percentile: number): number | undefined =>
    latency.totalCount === 0 ? undefined : latency.getValueAtPercentile(percentile);
  return {
    kind,
    sent,
    inTime,
    late,
    refused: Object.fromEntries(refused.sort(([a], [b]) => (a < b ? -1 : 1))),
    attainment: sent === 0 ? 0 : inTime / sent,
    p50: at(50),
    p95: at(95),
    p99: at(99),
  };
}
