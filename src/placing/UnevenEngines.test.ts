import * as vitest from 'vitest';
import * as seededRandom from '../common/SeededRandom.js';
import * as virtualClock from '../common/testing/VirtualClock.js';
import * as unlimitedRateLimiter from '../ratelimit/testing/UnlimitedRateLimiter.js';
import * as unboundedRoom from '../room/UnboundedRoom.js';
import * as enginePlacer from './EnginePlacer.js';
import * as slowPhases from './testing/SlowPhases.js';

const { describe, expect, it } = vitest;
const PROMPT_TOKENS = 6000;
/** Prompt tokens that an engine of speed 1 reads in a millisecond, one request after the other. */
const TOKENS_PER_MS = 150;
const EVENTS = 10;
const EVENT_GAP_MS = 45;
/** Age of what the placer learns of an engine. */
const REPORT_AGE_MS = 100;
const DURATION_MS = 30_000;
/** Time in which the first event of a request is to arrive. */
const GOAL_MS = 150;
/** Time for which the placer may learn. */
const LEARNING_MS = 6000;

interface IPlacement {
  readonly at: number;
  readonly engine: number;
  readonly timeToFirstEvent: number;
}

interface IOptions {
  readonly speeds: readonly number[];
  readonly rate: number;
  /** Mean time between changes of how long work takes on an engine; none if absent. */
  readonly meanPhase?: number | undefined;
  /** Whether the engines report how fast they work. */
  readonly reports?: boolean;
}

/** Places requests at a rate, with gaps drawn at random, on engines that read prompts one after the other. */
async function play(seed: number, options: IOptions): Promise<readonly IPlacement[]> {
  const { speeds, rate, meanPhase, reports = true } = options;
  const clock = new virtualClock.VirtualClock(0);
  const random = new seededRandom.SeededRandom(seed);
  const limits = { slots: 64, cacheTokens: 600_000 };
  const placer = new enginePlacer.EnginePlacer(
    clock,
    limits,
    new unlimitedRateLimiter.UnlimitedRateLimiter(),
    new unboundedRoom.UnboundedRoom(),
  );
  const endpoints = speeds.map((_, at) => ({
    id: `e${at}`,
    service: 's',
    address: '127.0.0.1:1',
    availabilityZone: 'a',
    slots: 64,
    draining: false,
  }));
  placer.updateEndpoints(endpoints, limits);
  const phases = speeds.map(
    () => new slowPhases.SlowPhases(random, 2 * DURATION_MS, meanPhase ?? DURATION_MS),
  );
  const busyUntil = speeds.map(() => 0);
  const placements: IPlacement[] = [];
  for (let serial = 0; clock.monotonic() < DURATION_MS; serial++) {
    const planId = `p${serial}`;
    const prompt = {
      parts: [{ id: planId, tokens: PROMPT_TOKENS }],
      tokensIn: PROMPT_TOKENS,
      tokensOut: 10,
    };
    const placed = placer.place({ planId, prompt, inputs: [], avoid: [] });
    const engine = endpoints.findIndex(({ id }) => id === placed?.id);
    const slowdownAt = (time: number): number =>
      meanPhase !== undefined ? (phases[engine]?.at(time) ?? 1) : 1;
    const now = clock.monotonic();
    const readAt = Math.max(now, busyUntil[engine] ?? 0);
    const speed = speeds[engine] ?? 1;
    const started = readAt + (PROMPT_TOKENS / TOKENS_PER_MS / speed) * slowdownAt(readAt);
    busyUntil[engine] = started;
    placements.push({ at: now, engine, timeToFirstEvent: started - now });
    const gap = (EVENT_GAP_MS / speed) * slowdownAt(started) * (0.9 + random.next() * 0.2);
    const report = reports ? slowdownAt(started) : undefined;
    clock.setTimer(started - now + REPORT_AGE_MS, () => placer.markStarted(planId, report));
    clock.setTimer(started - now + EVENTS * gap + REPORT_AGE_MS, () => {
      if (reports) {
        placer.recordEventGap(planId, gap);
      }
      placer.removeRequest(planId);
    });
    await clock.advance((-Math.log(1 - random.next()) * 1000) / rate);
  }
  return placements.filter(({ at }) => at > LEARNING_MS);
}

function shareOf(engine: number, placements: readonly IPlacement[]): number {
  return placements.filter((placed) => placed.engine === engine).length / placements.length;
}

/** Share of an engine in each span of `length` that is complete. */
function sharesOf(
  engine: number,
  placements: readonly IPlacement[],
  length: number,
): readonly number[] {
  const shares: number[] = [];
  for (let from = LEARNING_MS; from + length <= DURATION_MS; from += length) {
    shares.push(
      shareOf(
        engine,
        placements.filter(({ at }) => at >= from && at < from + length),
      ),
    );
  }
  return shares;
}

function lateShare(placements: readonly IPlacement[], goal: number): number {
  return (
    placements.filter(({ timeToFirstEvent }) => timeToFirstEvent > goal).length / placements.length
  );
}

describe('a placer before uneven engines', () => {
  it.each([
    [1, undefined],
    [2, undefined],
    [1, 50],
    [2, 50],
  ])(
    'splits work evenly between alike engines by old reports, seed %i, phases of %s ms',
    async (seed, meanPhase) => {
      const placements = await play(seed, { speeds: [1, 1], rate: 30, meanPhase });
      sharesOf(0, placements, 3000).forEach((share) => {
        expect(Math.abs(share - 0.5)).toBeLessThanOrEqual(0.1);
      });
    },
  );

  it.each([1, 2, 3])(
    'takes work from an engine while it is slow, and only then, seed %i',
    async (seed) => {
      const placements = await play(seed, { speeds: [1, 1], rate: 30, meanPhase: 600 });
      expect(Math.abs(shareOf(0, placements) - 0.5)).toBeLessThanOrEqual(0.1);
      sharesOf(0, placements, 3000).forEach((share) => {
        expect(Math.abs(share - 0.5)).toBeLessThanOrEqual(0.3);
      });
    },
  );

  it('gives engines work by their speed, starves none and is late less often', async () => {
    const late = { informed: 0, blind: 0 };
    for (const seed of [1, 2, 3, 4, 5]) {
      const load = { speeds: [0.55, 1.2, 1.2, 1.2], rate: 55, meanPhase: 600 };
      const placements = await play(seed, load);
      const share = shareOf(0, placements);
      expect(share).toBeGreaterThan(0.03);
      expect(share).toBeLessThan(0.17);
      late.informed += lateShare(placements, GOAL_MS);
      late.blind += lateShare(await play(seed, { ...load, reports: false }), GOAL_MS);
    }
    expect(late.informed).toBeLessThan(0.6 * late.blind);
  });

  it('learns no speeds of engines that report nothing', async () => {
    const placements = await play(1, { speeds: [0.55, 1.2], rate: 20, reports: false });
    sharesOf(0, placements, 6000).forEach((share) => expect(share).toBeGreaterThan(0.3));
  });
});
