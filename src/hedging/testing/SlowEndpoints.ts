import * as seededRandom from '../../common/SeededRandom.js';
import * as virtualClock from '../../common/testing/VirtualClock.js';
import * as hedgePolicy from '../HedgePolicy.js';
import type * as types from '../Types.js';

const SERVICE = 'engines';
/** Time that an endpoint of the usual speed takes for a unit of work. */
const MS_PER_UNIT = 1;
const MEAN_WORK = 100;

/** What a play asks for. */
export interface IPlay {
  readonly limits: types.IHedgeLimits;
  readonly seed: number;
  readonly requests: number;
  /** Mean time between two requests. */
  readonly gap: number;
  readonly endpoints: number;
  /** Time that an endpoint takes at `now`, as a multiple of the usual one. */
  readonly slowdown: (endpoint: number, now: number) => number;
}

/** What callers got, and what the endpoints did. */
export interface IPlayed {
  /** Times to an answer, sorted. */
  readonly times: readonly number[];
  readonly firstWork: number;
  readonly hedgeWork: number;
  /** Hedges of the last quarter of the requests. */
  readonly lateHedges: number;
}

/** An endpoint that serves one request after the other. */
interface IQueue {
  freeAt: number;
}

/**
 * Sends each request to the endpoint with the shortest queue, drawn among equals, and hedges late ones by the policy. A
 * hedge that is answered first frees what is left of the other attempt.
 */
export async function play(options: IPlay): Promise<IPlayed> {
  const clock = new virtualClock.VirtualClock(0);
  // Requests and choices are drawn apart, so that a play without hedges gets the same requests.
  const random = new seededRandom.SeededRandom(options.seed);
  const choices = new seededRandom.SeededRandom(options.seed + 1);
  const policy = new hedgePolicy.HedgePolicy(options.limits, clock);
  const queues: IQueue[] = Array.from({ length: options.endpoints }, () => ({ freeAt: 0 }));
  const times: number[] = [];
  const work = { first: 0, hedge: 0, lateHedges: 0 };
  const backlog = (at: number): number =>
    Math.max(0, (queues[at]?.freeAt ?? 0) - clock.monotonic());
  const choose = (except: number): number => {
    const order = queues
      .map((_, at) => ({ at, key: backlog(at) + choices.next() }))
      .filter(({ at }) => at !== except)
      .sort((a, b) => a.key - b.key);
    return order[0]?.at ?? 0;
  };
  /** Queues work at an endpoint; returns when it is answered. */
  const enqueue = (at: number, amount: number): number => {
    const now = clock.monotonic();
    const took = amount * MS_PER_UNIT * options.slowdown(at, now);
    const queue = queues[at] as IQueue;
    queue.freeAt = Math.max(queue.freeAt, now) + took;
    return queue.freeAt;
  };
  const send = (index: number): void => {
    const startedAt = clock.monotonic();
    const amount = MEAN_WORK * (0.5 + random.next());
    const at = choose(-1);
    const attempt = {
      service: SERVICE,
      availabilityZone: `zone-${at % 3}`,
      work: amount,
      workAhead: amount + backlog(at) / MS_PER_UNIT,
    };
    const answeredAt = enqueue(at, amount);
    const delay = policy.delayFor(attempt);
    policy.recordFirst(attempt);
    work.first += amount;
    let isOver = false;
    const end = (): void => {
      if (!isOver) {
        isOver = true;
        times.push(clock.monotonic() - startedAt);
        policy.recordAnswer(attempt, clock.monotonic() - startedAt);
      }
    };
    clock.setTimer(answeredAt - startedAt, end);
    if (delay === undefined || startedAt + delay >= answeredAt) {
      return;
    }
    clock.setTimer(delay, () => {
      const occupancy = queues.filter((_, queue) => backlog(queue) > 0).length / options.endpoints;
      if (policy.request(attempt, { occupancy }) !== 'granted') {
        return;
      }
      work.hedge += amount;
      work.lateHedges += index >= options.requests * 0.75 ? 1 : 0;
      clock.setTimer(enqueue(choose(at), amount) - clock.monotonic(), () => {
        if (!isOver) {
          const queue = queues[at] as IQueue;
          queue.freeAt = Math.min(queue.freeAt, Math.max(clock.monotonic(), queue.freeAt - amount));
        }
        end();
      });
    });
  };
  for (let index = 0; index < options.requests; index++) {
    send(index);
    await clock.advance(-Math.log(1 - random.next()) * options.gap);
  }
  await clock.advance(60_000);
  times.sort((a, b) => a - b);
  return { times, firstWork: work.first, hedgeWork: work.hedge, lateHedges: work.lateHedges };
}
