/** Tests of ownership of things to release. */
import { describe, expect, it } from 'vitest';
import { DisposableOwner, toDisposable } from './Disposables.js';
import type { Disposable } from './services/Services.js';

class Owner extends DisposableOwner {
  public hold(held: Disposable): void {
    this.register(held);
  }

  public signal(): AbortSignal {
    return this.disposal;
  }
}

describe('DisposableOwner', () => {
  describe('dispose', () => {
    it('releases in reverse order, once', () => {
      const owner = new Owner();
      const released: number[] = [];
      owner.hold(toDisposable(() => released.push(1)));
      owner.hold(toDisposable(() => released.push(2)));
      owner.dispose();
      owner.dispose();
      expect(released).toEqual([2, 1]);
    });

    it('releases at once what is registered afterwards', () => {
      const owner = new Owner();
      owner.dispose();
      const released: number[] = [];
      owner.hold(toDisposable(() => released.push(1)));
      expect(released).toEqual([1]);
    });
  });

  describe('disposal', () => {
    it('aborts after what is held was released', () => {
      const owner = new Owner();
      const states: boolean[] = [];
      const signal = owner.signal();
      owner.hold(toDisposable(() => states.push(signal.aborted)));
      expect(signal.aborted).toBe(false);
      owner.dispose();
      expect([...states, signal.aborted]).toEqual([false, true]);
    });

    it('is aborted when it is first asked for afterwards', () => {
      const owner = new Owner();
      owner.dispose();
      expect(owner.signal().aborted).toBe(true);
    });
  });
});
