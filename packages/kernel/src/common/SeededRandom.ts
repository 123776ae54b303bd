/**
 * A random source that returns the same sequence for the same seed (xoroshiro128+ of pure-rand).
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomSource } from './services/Services.js';

const UINT32_RANGE = 0x1_0000_0000;

/** Seeded pseudo-random numbers; not suitable for secrets. */
export class SeededRandom implements RandomSource {
  private readonly _generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this._generator = xoroshiro128plus(seed);
  }

  public next(): number {
    return (this._generator.next() >>> 0) / UINT32_RANGE;
  }

  public integer(bound: number): number {
    return Math.floor(this.next() * bound);
  }

  public identifier(): string {
    const word = (): string => this.integer(UINT32_RANGE).toString(16).padStart(8, '0');
    const hex = word() + word() + word() + word();
    return [
      hex.slice(0, 8),
      hex.slice(8, 12),
      `4${hex.slice(13, 16)}`,
      `8${hex.slice(17, 20)}`,
      hex.slice(20),
    ].join('-');
  }
}
