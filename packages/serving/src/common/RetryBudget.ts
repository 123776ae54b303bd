/**
 * A retry budget: limits retries to a share of the recent requests, so that retries don't overload
 * a failing fleet further.
 */

/** Retries added to the balance by each new request. */
const RETRIES_PER_REQUEST = 0.2;
/** Largest balance; also the initial one. */
const MAX_BALANCE_RETRIES = 20;

/** Counts the retries that one entry node may still make. */
export class RetryBudget {
  private _balance = MAX_BALANCE_RETRIES;

  /** Adds the share of a new request to the balance. */
  public deposit(): void {
    this._balance = Math.min(MAX_BALANCE_RETRIES, this._balance + RETRIES_PER_REQUEST);
  }

  /** Takes one retry from the balance; returns false if less than one is left. */
  public tryWithdraw(): boolean {
    if (this._balance < 1) {
      return false;
    }
    this._balance--;
    return true;
  }
}
