import * as vitest from 'vitest';
import * as seededRandom from '../common/SeededRandom.js';
import * as virtualClock from '../common/testing/VirtualClock.js';
import * as slowPhases from '../placing/testing/SlowPhases.js';
import * as unlimitedRateLimiter from '../ratelimit/testing/UnlimitedRateLimiter.js';
import * as endpointDirectory from '../routing/EndpointDirectory.js';
import type * as routing from '../routing/Types.js';
import * as eventPace from './EventPace.js';
import * as serviceBalancer from './ServiceBalancer.js';

const { describe, expect, it } = vitest;
/** Work of a request on an endpoint of speed 1. */
const WORK_MS = 50;
const SLOTS = 6;
const VMS = 12;
/** Age of what an answer says of its endpoint. */
const REPORT_AGE_MS = 100;
const DURATION_MS = 24_000;
const LEARNING_MS = 6000;

interface ICall {
  readonly at: number;
  readonly endpoint: number;
  readonly took: number;
}

interface IOptions {
  readonly speeds: readonly number[];
  readonly rate: number;
  /** Mean time between changes of how long work takes at an endpoint; none if absent. */
  readonly meanPhase?: number | undefined;
  readonly reports?: boolean;
  /** Whether the endpoints report slowdowns that they do not have. */
  readonly isFalse?: boolean;
}

/** Endpoint with some slots and a queue. */
class FakeEndpoint {
  private readonly slotsFreeAt: number[] = Array.from({ length: SLOTS }, () => 0);

  constructor(
    private readonly speed: number,
    private readonly slowdownAt: (time: number) => number,
    private readonly isFalse: boolean,
  ) {}

  /** Load at a time, as the endpoint reports it. */
  loadAt(time: number): { running: number; waiting: number; slots: number; slowdown: number } {
    const running = this.slotsFreeAt.filter((at) => at > time).length;
    return { running, waiting: 0, slots: SLOTS, slowdown: this.slowdownAt(time) };
  }

  /** Returns the end of a request that arrives now. */
  run(now: number, work: number): number {
    this.slotsFreeAt.sort((a, b) => a - b);
    const start = Math.max(now, this.slotsFreeAt[0] ?? 0);
    const end = start + (work / this.speed) * (this.isFalse ? 1 : this.slowdownAt(start));
    this.slotsFreeAt[0] = end;
    return end;
  }
}

async function play(seed: number, options: IOptions): Promise<readonly ICall[]> {
  const { speeds, rate, meanPhase, reports = true, isFalse = false } = options;
  const clock = new virtualClock.VirtualClock(0);
  const random = new seededRandom.SeededRandom(seed);
  const directory = new endpointDirectory.EndpointDirectory();
  const balancers = Array.from(
    { length: VMS },
    () =>
      new serviceBalancer.ServiceBalancer(
        directory,
        clock,
        random,
        'a',
        new unlimitedRateLimiter.UnlimitedRateLimiter(),
      ),
  );
  const listed = speeds.map((_, at): routing.IEndpoint => ({
    id: `e${at}`,
    service: 's',
    address: '127.0.0.1:1',
    availabilityZone: 'a',
    slots: SLOTS,
    draining: false,
  }));
  directory.replace({ revision: 1, endpoints: listed });
  const endpoints = speeds.map((speed) => {
    const phases = new slowPhases.SlowPhases(random, 2 * DURATION_MS, meanPhase ?? DURATION_MS);
    const slowdownAt = (time: number): number => (meanPhase === undefined ? 1 : phases.at(time));
    return new FakeEndpoint(speed, slowdownAt, isFalse);
  });
  const calls: ICall[] = [];
  while (clock.monotonic() < DURATION_MS) {
    const balancer = balancers[random.nextInt(VMS)] as serviceBalancer.ServiceBalancer;
    const chosen = balancer.choose('s', { excluded: [], allowsLimited: true });
    const id = chosen?.id ?? '';
    const at = listed.findIndex((endpoint) => endpoint.id === id);
    const endpoint = endpoints[at] as FakeEndpoint;
    const now = clock.monotonic();
    const end = endpoint.run(now, WORK_MS * (0.5 + random.next()));
    balancer.recordStart(id);
    calls.push({ at: now, endpoint: at, took: end - now });
    const { slowdown, ...load } = endpoint.loadAt(end - REPORT_AGE_MS);
    clock.setTimer(end - now, () =>
      balancer.recordEnd(id, 'ok', end - now, reports ? { ...load, slowdown } : load),
    );
    await clock.advance((-Math.log(1 - random.next()) * 1000) / rate);
  }
  return calls.filter(({ at }) => at > LEARNING_MS);
}

function shareOf(endpoint: number, calls: readonly ICall[]): number {
  return calls.filter((call) => call.endpoint === endpoint).length / calls.length;
}

function meanTime(calls: readonly ICall[]): number {
  return calls.reduce((sum, { took }) => sum + took, 0) / calls.length;
}

/** Largest distance of the share of the first of two endpoints from a half, in spans of 3 s. */
function swingOf(calls: readonly ICall[]): number {
  const swings: number[] = [];
  for (let from = LEARNING_MS; from < DURATION_MS; from += 3000) {
    const span = calls.filter(({ at }) => at >= from && at < from + 3000);
    swings.push(Math.abs(shareOf(0, span) - 0.5));
  }
  return Math.max(...swings);
}

describe('balancers before uneven endpoints', () => {
  it.each([1, 2, 3, 4])(
    'split requests evenly between alike endpoints by old reports, seed %i',
    async (seed) => {
      const load = { speeds: [1, 1], rate: 150, isFalse: true };
      expect(swingOf(await play(seed, load))).toBeLessThanOrEqual(0.1);
      expect(swingOf(await play(seed, { ...load, meanPhase: 50 }))).toBeLessThanOrEqual(0.1);
    },
  );

  it.each([1, 2, 3])(
    'take requests from an endpoint while it is slow, and only then, seed %i',
    async (seed) => {
      const calls = await play(seed, { speeds: [1, 1], rate: 120, meanPhase: 600 });
      expect(Math.abs(shareOf(0, calls) - 0.5)).toBeLessThanOrEqual(0.1);
      expect(swingOf(calls)).toBeLessThanOrEqual(0.3);
    },
  );

  it('send requests by the speed of endpoints, starve none, and take less time', async () => {
    const time = { informed: 0, blind: 0 };
    for (const seed of [1, 2, 3, 4]) {
      const load = { speeds: [0.55, 1.2, 1.2], rate: 150, meanPhase: 600 };
      const calls = await play(seed, load);
      expect(shareOf(0, calls)).toBeGreaterThan(0.02);
      expect(shareOf(0, calls)).toBeLessThan(0.19);
      time.informed += meanTime(calls);
      time.blind += meanTime(await play(seed, { ...load, reports: false }));
    }
    expect(time.informed).toBeLessThan(time.blind);
  });
});

describe('the pace of a stream', () => {
  it('is the mean time between its events, without the time in which its caller held it up', async () => {
    const clock = new virtualClock.VirtualClock(0);
    const pace = new eventPace.EventPace(clock);
    const events = ['id: 1\ndata: a\n\n', 'id: 2\n\nid: 3\n\n', 'id: 4\n\n', 'id: 5\n\n'];
    for (const [at, event] of events.entries()) {
      pace.record(Buffer.from(event));
      if (at === 2) {
        pace.pause();
      }
      await clock.advance(at === 2 ? 5000 : 40);
    }
    expect(pace.meanGap).toBeUndefined();
    pace.record(Buffer.from('id: 6\n\n'));
    expect(pace.meanGap).toBe(30);
  });
});
