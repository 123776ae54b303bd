/**
 * The attempts in flight at this entry node, by target. An attempt is registered before its first
 * message is sent, so that an owner never finds a live attempt abandoned.
 */
import { DisposableOwner } from '@tanagerdyke/kernel';
import { checkedHandler, type Transport } from '@tanagerdyke/mesh';
import { Result } from 'true-myth';
import { LIVE_METHOD, type LiveResponse, reservationIdsSchema } from './Messages.js';

/** Records the live attempts of one node and reports them to owners. */
export class AttemptRegistry extends DisposableOwner {
  private readonly _attemptsByTarget = new Map<string, Set<string>>();

  constructor(transport: Transport) {
    super();
    this.register(
      transport.handle(
        LIVE_METHOD,
        checkedHandler(reservationIdsSchema, ({ target, ids }) =>
          Result.ok(this.filterLive(target, ids)),
        ),
      ),
    );
  }

  public add(target: string, attemptId: string): void {
    const attempts = this._attemptsByTarget.get(target) ?? new Set<string>();
    attempts.add(attemptId);
    this._attemptsByTarget.set(target, attempts);
  }

  public delete(target: string, attemptId: string): void {
    const attempts = this._attemptsByTarget.get(target);
    attempts?.delete(attemptId);
    if (attempts?.size === 0) {
      this._attemptsByTarget.delete(target);
    }
  }

  /** Returns the ids that belong to live attempts. */
  public filterLive(target: string, ids: readonly string[]): LiveResponse {
    const attempts = this._attemptsByTarget.get(target);
    return { live: ids.filter((id) => attempts?.has(id) === true) };
  }
}
