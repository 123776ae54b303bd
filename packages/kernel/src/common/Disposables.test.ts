/** Tests of the ownership of disposables. */
import { describe, expect, it } from 'vitest';
import { DisposableOwner, toDisposable } from './Disposables.js';
import type { Disposable } from './services/Services.js';

class Owner extends DisposableOwner {
  public add(disposable: Disposable): void {
    this.register(disposable);
  }

  public signal(): AbortSignal {
    return this.disposalSignal;
  }
}

describe('DisposableOwner', () => {
  describe('dispose', () => {
    it('releases each disposable once, in reverse order of registration', () => {
      const owner = new Owner();
      const released: number[] = [];
      owner.add(toDisposable(() => released.push(1)));
      owner.add(toDisposable(() => released.push(2)));
      owner.dispose();
      owner.dispose();
      expect(released).toEqual([2, 1]);
    });

    it('immediately releases a disposable that is registered later', () => {
      const owner = new Owner();
      owner.dispose();
      const released: number[] = [];
      owner.add(toDisposable(() => released.push(1)));
      expect(released).toEqual([1]);
    });
  });

  describe('disposalSignal', () => {
    it('aborts after all disposables were released', () => {
      const owner = new Owner();
      const states: boolean[] = [];
      const signal = owner.signal();
      owner.add(toDisposable(() => states.push(signal.aborted)));
      expect(signal.aborted).toBe(false);
      owner.dispose();
      expect([...states, signal.aborted]).toEqual([false, true]);
    });

    it('is already aborted when first read after the owner was disposed', () => {
      const owner = new Owner();
      owner.dispose();
      expect(owner.signal().aborted).toBe(true);
    });
  });
});
