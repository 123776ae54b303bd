/** Random numbers from the operating system, for real processes. */
import { randomInt, randomUUID } from 'node:crypto';
import type { RandomSource } from '../common/services/Services.js';

/** Number of distinct floats; `randomInt` requires a range of less than 2 ** 48. */
const FLOAT_STEP_COUNT = 2 ** 47;

/** Cryptographically strong random numbers. */
export class SystemRandom implements RandomSource {
  public next(): number {
    return randomInt(FLOAT_STEP_COUNT) / FLOAT_STEP_COUNT;
  }

  public integer(bound: number): number {
    return randomInt(bound);
  }

  public identifier(): string {
    return randomUUID();
  }
}
