/**
 * Ownership of things to release. A class that holds a timer, link or listener extends
 * `DisposableOwner` and registers each; disposing the owner releases them in reverse order.
 */
import type { Disposable } from './services/Services.js';

/** Wraps a function as an idempotent `Disposable`. */
export function toDisposable(release: () => void): Disposable {
  let released = false;
  return {
    dispose: () => {
      if (released) {
        return;
      }
      released = true;
      release();
    },
  };
}

/** Releases what was registered with it, last registered first. */
export class DisposableOwner implements Disposable {
  private readonly _held = new Set<Disposable>();
  private _disposed = false;
  private _disposal: AbortController | undefined;

  public get isDisposed(): boolean {
    return this._disposed;
  }

  public dispose(): void {
    this._disposed = true;
    const held = [...this._held].reverse();
    this._held.clear();
    for (const each of held) {
      each.dispose();
    }
    this._disposal?.abort();
  }

  /** Aborts once the owner is disposed; ends the waits of its tasks. */
  protected get disposal(): AbortSignal {
    this._disposal ??= new AbortController();
    if (this._disposed) {
      this._disposal.abort();
    }
    return this._disposal.signal;
  }

  /** Registers `held`; when the owner is already disposed it is released at once. */
  protected register<T extends Disposable>(held: T): T {
    if (this._disposed) {
      held.dispose();
    } else {
      this._held.add(held);
    }
    return held;
  }

  /** Forgets `held` without releasing it. */
  protected unregister(held: Disposable): void {
    this._held.delete(held);
  }
}
