import * as fc from 'fast-check';
import * as vitest from 'vitest';
import * as seededRandom from '../../src/common/SeededRandom.js';
import * as erlangC from '../../src/staffing/ErlangC.js';
import * as queueStandin from './QueueStandin.js';
import * as squareRoot from './SquareRoot.js';

/** Erlang C from its definition by sums: the naive version. */
function naiveDelay(servers: number, load: number): number {
  let term = 1;
  let sum = 1;
  for (let count = 1; count < servers; count += 1) {
    term *= load / count;
    sum += term;
  }
  const last = ((term * load) / servers) * (servers / (servers - load));
  return last / (sum + last);
}

vitest.describe('ErlangC', () => {
  vitest.it('agrees with the definition', () => {
    const sizes = fc.tuple(
      fc.integer({ min: 1, max: 80 }),
      fc.double({ min: 0.01, max: 0.99, noNaN: true }),
    );
    fc.assert(
      fc.property(sizes, ([servers, utilisation]) => {
        const load = servers * utilisation;
        const exact = naiveDelay(servers, load);
        vitest.expect(erlangC.delayProbability(servers, load) / exact).toBeCloseTo(1, 9);
      }),
      { seed: 11, numRuns: 200 },
    );
  });

  vitest.it('finds the smallest size that holds the target', () => {
    [0.3, 1, 7.5, 40, 900].forEach((load) => {
      const { servers, delayedRatio: delayed } = erlangC.requiredServers(load, 0.02);
      vitest.expect(delayed).toBeLessThanOrEqual(0.02);
      vitest.expect(erlangC.delayProbability(servers, load)).toBeCloseTo(delayed, 12);
      vitest.expect(erlangC.delayProbability(servers - 1, load)).toBeGreaterThan(0.02);
    });
    vitest
      .expect(erlangC.requiredServers(40, 0.02, 0.5).servers)
      .toBeLessThan(erlangC.requiredServers(40, 0.02).servers);
  });

  vitest.it('never calls an overloaded pool large enough', () => {
    vitest.expect(erlangC.delayProbability(4, 4)).toBe(1);
    vitest.expect(erlangC.requiredServers(4, 0.999).servers).toBe(5);
  });
});

vitest.describe('SquareRoot', () => {
  // Published values of the rule's two constants, to four digits.
  vitest.it.each([
    [1e-1, 1.4202, 0.5666],
    [1e-3, 3.1153, 1.9197],
    [1e-5, 4.2758, 3.3631],
  ])('has the published constants at %d', (target, beta, correction) => {
    vitest.expect(squareRoot.betaFor(target)).toBeCloseTo(beta, 4);
    vitest.expect(squareRoot.correctionFor(target)).toBeCloseTo(correction, 4);
  });
});

vitest.describe('QueueStandin', () => {
  vitest.it('delays the share that Erlang C says, for exponential service times', () => {
    const random = new seededRandom.SeededRandom(5);
    const options = { servers: 12, load: 9, requests: 200_000 };
    const { exponential } = queueStandin;
    const share = queueStandin.delayedShare({ ...options, serviceTime: exponential }, random);
    vitest.expect(Math.abs(share / erlangC.delayProbability(12, 9) - 1)).toBeLessThan(0.05);
  });

  vitest.it('draws service times of mean 1', () => {
    const random = new seededRandom.SeededRandom(5);
    const draw = queueStandin.lognormal(4);
    let sum = 0;
    for (let count = 0; count < 200_000; count += 1) {
      sum += draw(random);
    }
    vitest.expect(Math.abs(sum / 200_000 - 1)).toBeLessThan(0.03);
  });
});
