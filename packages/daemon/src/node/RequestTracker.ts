/**
 * Counts the requests in flight, so that a drain can wait for the last one, and aborts the
 * remaining ones when the node can't wait any longer.
 */
import { Emitter } from '@tanagerdyke/kernel';

/** A request in flight. */
export interface RunningRequest {
  /** Aborts when the request must write its final answer because the node shuts down. */
  readonly shutdownSignal: AbortSignal;
  /** Marks the request as ended. Further calls have no effect. */
  end(): void;
}

/** Tracks the requests in flight of a node. */
export class RequestTracker {
  private _running = 0;
  private readonly _idleEmitter = new Emitter<void>();
  private readonly _controllers = new Set<AbortController>();

  public get running(): number {
    return this._running;
  }

  /** Counts a request as in flight until its `end` is called. */
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

  /** Makes each request in flight write its final answer. */
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
