/** Plans the requests of a run from a seed: the same seed gives the same requests at the same moments. */
import * as tsPattern from 'ts-pattern';
import * as seededRandom from '../common/SeededRandom.js';
import type * as commonTypes from '../common/Types.js';
import * as mixes from './Mixes.js';
import type * as types from './Types.js';

const SECOND_MS = 1000;
const BURST_PERIOD_MS = 5 * SECOND_MS;
const BURST_MS = SECOND_MS;
/** A fifth of the time at three times the mean; the rest makes up for it. */
const BURST_FACTOR = 3;
const CALM_FACTOR = (BURST_PERIOD_MS - BURST_FACTOR * BURST_MS) / (BURST_PERIOD_MS - BURST_MS);
/** From half the mean to half as much again, rising evenly. */
const MONTH_END_START = 0.5;
const MONTH_END_END = 1.5;

/** Rate at a moment over the mean rate of the run. */
function factorAt(variant: types.IVariant, at: commonTypes.Millis): number {
  return tsPattern
    .match(variant.arrivals)
    .with('poisson', () => 1)
    .with('burst', () => (at % BURST_PERIOD_MS < BURST_MS ? BURST_FACTOR : CALM_FACTOR))
    .with('month-end', () => {
      const passed = at / (variant.seconds * SECOND_MS);
      return MONTH_END_START + passed * (MONTH_END_END - MONTH_END_START);
    })
    .exhaustive();
}

function chooseKind(kinds: readonly types.IMixKind[], random: commonTypes.IRandom): types.IMixKind {
  const total = kinds.reduce((sum, kind) => sum + kind.weight, 0);
  let left = random.next() * total;
  const found = kinds.find((kind) => {
    left -= kind.weight;
    return left < 0;
  });
  return found ?? kinds[0]!;
}

function pick<T>(items: readonly T[], random: commonTypes.IRandom): T {
  return items[random.nextInt(items.length)]!;
}

/**
 * Requests of a run in order of their moments, as a Poisson process whose rate follows the shape
 * (thinning of a faster even one).
 *
 * @example
 * for (const request of planArrivals(variant, 1)) { send(request); }
 */
export function* planArrivals(
  variant: types.IVariant,
  seed: number,
): Generator<types.IPlannedRequest> {
  const random = new seededRandom.SeededRandom(seed);
  const kinds = mixes.MIXES[variant.mix];
  const perMilli = (variant.rate * BURST_FACTOR) / SECOND_MS;
  const end = variant.seconds * SECOND_MS;
  let at = 0;
  let index = 0;
  while (index < variant.maxRequests) {
    at += -Math.log(1 - random.next()) / perMilli;
    if (at >= end) {
      return;
    }
    if (random.next() * BURST_FACTOR < factorAt(variant, at)) {
      const kind = chooseKind(kinds, random);
      yield { index, at, kind, workspace: pick(kind.workspaces, random) };
      index += 1;
    }
  }
}
