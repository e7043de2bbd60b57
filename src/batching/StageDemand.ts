import type * as commonTypes from '../common/Types.js';
import * as decayingRate from './DecayingRate.js';

/**
 * Ratio of the arrival rate of more urgent requests subtracted from the throughput: their bursts end, and some
 * of them are refused.
 */
const URGENT_ARRIVALS_RATIO = 0.3;
/** Ratio of the throughput assumed for every priority, however high the rate of more urgent arrivals. */
const MIN_THROUGHPUT_RATIO = 0.1;

/** Results below this ratio of the result size of an item that waits for room may overtake it. */
export const OVERTAKING_SIZE_RATIO = 0.1;

/** Throughput of a stage in items per millisecond. */
export interface IThroughput {
  /** Items of all result sizes, within the room for results. */
  readonly items: number;
  /** Items whose results take no room to speak of. */
  readonly smallItems: number;
}

/** Outstanding items of the same priority and result size. */
interface IDemandLevel {
  readonly priority: number;
  readonly resultBytes: number;
  count: number;
}

/**
 * Outstanding items of one stage, by priority and result size, over all requests in progress. Answers bursts of requests
 * with large results: these wait for room, while items with small results overtake them.
 */
export class StageDemand {
  private readonly levels = new Map<string, IDemandLevel>();

  private readonly arrivalRates = new Map<number, decayingRate.DecayingRate>();

  /** Starts without outstanding items. */
  constructor(private readonly clock: commonTypes.IClock) {}

  /** Adds `count` items to the outstanding demand of a priority; a negative count removes them. */
  add(priority: number, count: number, resultBytes: number): void {
    const key = `${priority}/${resultBytes}`;
    const level = this.levels.get(key) ?? { priority, resultBytes, count: 0 };
    this.levels.set(key, level);
    level.count = Math.max(0, level.count + count);
    if (count > 0) {
      const rate = this.arrivalRates.get(priority) ?? new decayingRate.DecayingRate();
      this.arrivalRates.set(priority, rate);
      rate.add(count, this.clock.monotonic());
    }
  }

  /**
   * Estimated time in milliseconds to complete the outstanding items that go before an item of this priority with a
   * result of `resultBytes`. More urgent items that arrive meanwhile consume part of the throughput; items with large
   * results that wait for room are overtaken.
   */
  delayFor(priority: number, resultBytes: number, throughput: IThroughput): commonTypes.Millis {
    const levels = [...this.levels.values()].filter((level) => level.priority <= priority);
    const itemsAhead = countItems(levels);
    const maxBytes = resultBytes / OVERTAKING_SIZE_RATIO;
    const notOvertaken = countItems(levels.filter((level) => level.resultBytes <= maxBytes));
    if (itemsAhead === 0) {
      return 0;
    }
    const delay = itemsAhead / this.rateFor(priority, throughput.items);
    const isRoomLimit = throughput.smallItems > throughput.items;
    if (notOvertaken === itemsAhead || !isRoomLimit) {
      return delay;
    }
    const rateOfRest = Math.max(
      throughput.smallItems - throughput.items * (1 - notOvertaken / itemsAhead),
      throughput.smallItems * MIN_THROUGHPUT_RATIO,
    );
    return Math.min(delay, notOvertaken / this.rateFor(priority, rateOfRest));
  }

  /** Part of the throughput that more urgent items leave, in items per millisecond. */
  private rateFor(priority: number, throughput: number): number {
    const now = this.clock.monotonic();
    const urgentRate = [...this.arrivalRates]
      .filter(([level]) => level < priority)
      .reduce((sum, [, rate]) => sum + rate.perMs(now), 0);
    return Math.max(
      throughput - urgentRate * URGENT_ARRIVALS_RATIO,
      throughput * MIN_THROUGHPUT_RATIO,
    );
  }
}

function countItems(levels: readonly IDemandLevel[]): number {
  return levels.reduce((sum, { count }) => sum + count, 0);
}
