/**
 * Reservations that are always granted, for baselines. No owner accounts for the load of an engine,
 * so a prompt goes to the target that the policy ranks first.
 */
import type { ReserveResponse, Reservations } from '@tanagerdyke/serving';
import { Result } from 'true-myth';

const GRANTED: ReserveResponse = {
  isGranted: true,
  hasVersion: true,
  isLeaving: false,
  estimateMs: 0,
  retryAfterMs: 0,
  hint: { freeTokens: 0, backlogMs: [0, 0, 0], running: 0 },
};

/** Grants every reservation locally, without a request to the owner of the target. */
export class UnlimitedReservations implements Reservations {
  public backlogOf(): number {
    return 0;
  }

  public lacksVersion(): boolean {
    return false;
  }

  public reserve(): ReturnType<Reservations['reserve']> {
    return Promise.resolve(Result.ok(GRANTED));
  }

  public markStarted(): Promise<void> {
    return Promise.resolve();
  }

  public release(): Promise<void> {
    return Promise.resolve();
  }
}
