/**
 * Counts the requests in flight, so that a drain knows when the last one has ended, and tells the
 * remaining ones when the node can't wait for them any longer.
 */
import { Emitter } from '@tanagerdyke/kernel';

/** A request that is being served. */
export interface RunningRequest {
  /** Aborts when the request must get its final answer now, because the node stops. */
  readonly shutdownSignal: AbortSignal;
  /** Ends the request; ending it again does nothing. */
  end(): void;
}

/** Requests of one node. */
export class RequestTracker {
  private _running = 0;
  private readonly _idleEmitter = new Emitter<void>();
  private readonly _controllers = new Set<AbortController>();

  public get running(): number {
    return this._running;
  }

  /** Counts a request until it ends. */
  public begin(): RunningRequest {
    this._running++;
    const controller = new AbortController();
    this._controllers.add(controller);
    const end = (): void => {
      if (!this._controllers.delete(controller)) {
        return;
      }
      this._running--;
      if (this._running === 0) {
        this._idleEmitter.fire();
      }
    };
    return { shutdownSignal: controller.signal, end };
  }

  /** Tells every running request to give its final answer now. */
  public abortAll(): void {
    for (const controller of [...this._controllers]) {
      controller.abort();
    }
  }

  /** Resolves when no request is running, or when `signal` aborts. */
  public whenIdle(signal: AbortSignal): Promise<void> {
    return new Promise((resolve) => {
      if (this._running === 0 || signal.aborted) {
        resolve();
        return;
      }
      const listener = this._idleEmitter.event(() => {
        listener.dispose();
        resolve();
      });
      signal.addEventListener(
        'abort',
        () => {
          listener.dispose();
          resolve();
        },
        { once: true },
      );
    });
  }
}
