/**
 * Guards against a slow engine that gets as many prompts as the others, and against sound engines
 * that count as slow for an error that all predictions have.
 */
import { ManualClock, SeededRandom } from '@tanagerdyke/kernel';
import { beforeEach, describe, expect, it } from 'vitest';
import { EngineSpeeds } from './EngineSpeeds.js';

const ENGINES = 8;

describe('EngineSpeeds', () => {
  let clock: ManualClock;
  let speeds: EngineSpeeds;
  let random: SeededRandom;

  beforeEach(() => {
    clock = new ManualClock();
    speeds = new EngineSpeeds(clock);
    random = new SeededRandom(3);
  });

  /** Records a prompt of each engine every 500 ms; a pass begins at a random moment. */
  function play(seconds: number, factorOf: (engine: number) => number): void {
    for (let round = 0; round < seconds * 2; round++) {
      for (let engine = 0; engine < ENGINES; engine++) {
        speeds.record('m', `e${engine}`, 80, (80 + random.next() * 40) * factorOf(engine));
      }
      clock.freeze(500);
    }
  }

  function slowdowns(): number[] {
    return Array.from({ length: ENGINES }, (_each, engine) => speeds.slowdown(`e${engine}`));
  }

  it('finds the slow engine and no other one', () => {
    play(10, (engine) => (engine === 3 ? 3 : 1));
    const [slow] = slowdowns().splice(3, 1);
    expect(slow).toBeGreaterThan(1.6);
    expect(slow).toBeLessThanOrEqual(4);
    expect(slowdowns().filter((each) => each !== 1)).toHaveLength(1);
  });

  it('finds none if all are slower than predicted', () => {
    play(10, () => 3);
    expect(slowdowns()).toEqual(Array(ENGINES).fill(1));
  });

  it('finds none with few samples, and no engine that it has no record of', () => {
    play(0.5, (engine) => (engine === 3 ? 1.7 : 1));
    expect(slowdowns()).toEqual(Array(ENGINES).fill(1));
    expect(speeds.slowdown('unknown')).toBe(1);
  });

  it('reports an engine that becomes slow, and one that is no longer, once each', () => {
    const changes: string[] = [];
    speeds.onChange(({ isSlow, target }) => changes.push(`${target} ${isSlow ? 'slow' : 'usual'}`));
    play(20, (engine) => (engine === 3 ? 3 : 1));
    expect(speeds.slowCount).toBe(1);
    play(20, () => 1);
    expect(changes).toEqual(['e3 slow', 'e3 usual']);
    expect(speeds.slowCount).toBe(0);
  });

  it('is bounded however slow the engine is', () => {
    play(30, (engine) => (engine === 3 ? 1_000 : 1));
    expect(speeds.slowdown('e3')).toBe(4);
  });

  it('is lost after a minute without prompts, so that the engine is tried again', () => {
    play(10, (engine) => (engine === 3 ? 3 : 1));
    clock.freeze(60_000);
    expect(speeds.slowdown('e3')).toBe(1);
  });

  it('is lost soon once the engine is as fast as the others', () => {
    play(10, (engine) => (engine === 3 ? 3 : 1));
    play(10, () => 1);
    expect(speeds.slowdown('e3')).toBeLessThan(1.3);
  });

  it('counts the time from the placement to the first event once', () => {
    for (let round = 0; round < 20; round++) {
      for (let engine = 0; engine < ENGINES; engine++) {
        speeds.expectFirstEvent(`n ${engine}`, 'm', `e${engine}`, 80);
      }
      clock.freeze(90);
      for (let engine = 0; engine < ENGINES; engine++) {
        if (engine !== 3) {
          speeds.recordFirstEvent(`n ${engine}`);
        }
      }
      clock.freeze(180);
      speeds.recordFirstEvent('n 3');
      speeds.recordFirstEvent('n 3');
      speeds.recordFirstEvent('never placed');
    }
    expect(speeds.slowdown('e3')).toBeGreaterThan(1.5);
    expect(speeds.slowdown('e1')).toBe(1);
  });
});
