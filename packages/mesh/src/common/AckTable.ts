/** The acks that a node waits for, by the id of the ping. */
import type { Clock } from '@tanagerdyke/kernel';

/** Matches acks to pings within a time limit. */
export class AckTable {
  private readonly _pending = new Map<string, () => void>();

  constructor(private readonly _clock: Clock) {}

  public isPending(id: string): boolean {
    return this._pending.has(id);
  }

  /** Resolves to whether the ack arrives within `timeoutMs`. */
  public waitFor(id: string, timeoutMs: number): Promise<boolean> {
    return new Promise((resolve) => {
      const timer = this._clock.schedule(timeoutMs, () => {
        this._pending.delete(id);
        resolve(false);
      });
      this._pending.set(id, () => {
        timer.dispose();
        this._pending.delete(id);
        resolve(true);
      });
    });
  }

  /** Resolves the wait for an ack; returns whether there was one. */
  public resolve(id: string): boolean {
    const settle = this._pending.get(id);
    settle?.();
    return settle !== undefined;
  }
}
