/** Reproducible random numbers from a seed. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A seeded generator, injected wherever random numbers are needed, so that tests can reproduce a run by its seed. */
export class Random {
  private readonly generator;

  /** `seed`: an integer, of which the low 32 bits are used. */
  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed | 0);
  }

  /** A number in [0, 1). */
  float(): number {
    return uniformFloat64(this.generator);
  }

  /** An integer from 0 to `bound` - 1. */
  intBelow(bound: number): number {
    return uniformInt(this.generator, 0, bound - 1);
  }

  /** `ms`, randomly longer or shorter by at most the given share of it. */
  jitter(ms: number, share = 0.25): number {
    return ms * (1 - share + 2 * share * this.float());
  }

  /** A random sample of at most `count` items, in their original order. */
  sample<T>(items: readonly T[], count: number): T[] {
    if (items.length <= count) return [...items];
    const candidates = [...items.keys()];
    const selected: number[] = [];
    for (let drawn = 0; drawn < count; drawn++) {
      const position = this.intBelow(candidates.length);
      selected.push(candidates[position]!);
      candidates[position] = candidates[candidates.length - 1]!;
      candidates.pop();
    }
    return selected.sort((a, b) => a - b).map((index) => items[index]!);
  }
}
