/**
 * Typed events. The owner of an `Emitter` fires it; others subscribe through its `event` property,
 * which classes publish under the name `onX`.
 */
import { toDisposable } from './Disposables.js';
import type { Disposable } from './services/Services.js';

/** Subscribes a listener; disposing the result unsubscribes it. */
export type Event<T> = (listener: (value: T) => void) => Disposable;

/** A source of events with values of one type. */
export class Emitter<T> implements Disposable {
  private readonly _listeners = new Set<(value: T) => void>();

  public readonly event: Event<T> = (listener) => {
    // The wrapper allows the same function to be subscribed more than once.
    const entry = (value: T): void => {
      listener(value);
    };
    this._listeners.add(entry);
    return toDisposable(() => this._listeners.delete(entry));
  };

  /** Calls every listener in order of subscription. */
  public fire(value: T): void {
    for (const listener of [...this._listeners]) {
      listener(value);
    }
  }

  public dispose(): void {
    this._listeners.clear();
  }
}
