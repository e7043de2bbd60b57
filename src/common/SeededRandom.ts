import * as uniformFloat from 'pure-rand/distribution/uniformFloat64';
import * as uniformInt from 'pure-rand/distribution/uniformInt';
import type * as generatorTypes from 'pure-rand/types/RandomGenerator';
import * as xoroshiro from 'pure-rand/generator/xoroshiro128plus';
import type * as types from './Types.js';

/** Pseudo-random number generator (xoroshiro128+); the same seed gives the same sequence. */
export class SeededRandom implements types.IRandom {
  private readonly generator: generatorTypes.RandomGenerator;

  /** Creates a generator at the start of the sequence for `seed`. */
  constructor(seed: number) {
    this.generator = xoroshiro.xoroshiro128plus(seed);
  }

  /** @inheritdoc */
  next(): number {
    return uniformFloat.uniformFloat64(this.generator);
  }

  /** @inheritdoc */
  nextInt(limit: number): number {
    return uniformInt.uniformInt(this.generator, 0, limit - 1);
  }
}
