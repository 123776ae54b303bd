/** A clock for tests with real sockets, whose time limits must not depend on the machine's speed. */
import { type Disposable, SystemClock } from '@tanagerdyke/kernel';

/** Time passes more slowly by a factor. */
export class SlowClock extends SystemClock {
  constructor(private readonly _slowdown: number) {
    super();
  }

  public override now(): number {
    return super.now() / this._slowdown;
  }

  public override schedule(delayMs: number, callback: () => void): Disposable {
    return super.schedule(delayMs * this._slowdown, callback);
  }
}
