/**
 * Ownership of disposables. A class that holds timers, links or listeners extends `DisposableOwner`
 * and registers each of them; disposing the owner releases them in reverse order.
 */
import type { Disposable } from './services/Services.js';

/** Wraps a function as an idempotent `Disposable`. */
export function toDisposable(release: () => void): Disposable {
  let isReleased = false;
  return {
    dispose: () => {
      if (isReleased) {
        return;
      }
      isReleased = true;
      release();
    },
  };
}

/** Releases the disposables that are registered with it, in reverse order of registration. */
export class DisposableOwner implements Disposable {
  private readonly _disposables = new Set<Disposable>();
  private _disposed = false;
  private _disposal: AbortController | undefined;

  public get isDisposed(): boolean {
    return this._disposed;
  }

  public dispose(): void {
    this._disposed = true;
    const disposables = [...this._disposables].reverse();
    this._disposables.clear();
    for (const each of disposables) {
      each.dispose();
    }
    this._disposal?.abort();
  }

  /** Aborts when the owner is disposed, to end the waits of its tasks. */
  protected get disposalSignal(): AbortSignal {
    this._disposal ??= new AbortController();
    if (this._disposed) {
      this._disposal.abort();
    }
    return this._disposal.signal;
  }

  /** Registers a disposable; releases it immediately if the owner is already disposed. */
  protected register<T extends Disposable>(disposable: T): T {
    if (this._disposed) {
      disposable.dispose();
    } else {
      this._disposables.add(disposable);
    }
    return disposable;
  }

  /** Removes a disposable without releasing it. */
  protected unregister(disposable: Disposable): void {
    this._disposables.delete(disposable);
  }
}
