/** Tests of waiting for one event with a timeout. */
import { describe, expect, it } from 'vitest';
import { Emitter } from './Emitter.js';
import { ManualClock } from './ManualClock.js';
import { awaitEvent } from './PendingEvent.js';

describe('awaitEvent', () => {
  it('resolves to the first matching value', async () => {
    const emitter = new Emitter<number>();
    const pending = awaitEvent(new ManualClock(), emitter.event, (value) => value > 1, 100);
    emitter.fire(1);
    emitter.fire(2);
    emitter.fire(3);
    expect(await pending.value).toBe(2);
  });

  it('resolves to undefined after the timeout', async () => {
    const clock = new ManualClock();
    const pending = awaitEvent(clock, new Emitter<number>().event, () => true, 100);
    await clock.advance(100);
    expect(await pending.value).toBeUndefined();
  });

  it('resolves to undefined and unsubscribes when cancelled', async () => {
    const emitter = new Emitter<number>();
    const seen: number[] = [];
    const matches = (value: number): boolean => seen.push(value) > 0;
    const pending = awaitEvent(new ManualClock(), emitter.event, matches, 100);
    pending.cancel();
    emitter.fire(1);
    expect(await pending.value).toBeUndefined();
    expect(seen).toEqual([]);
  });
});
