/**
 * Estimates from request round trips how far the clock of a node is ahead of the local clock, as in
 * Cristian's algorithm (1989): the shortest round trip gives the tightest bound on the error.
 */

/** One round trip: local wall times before and after, and the node's wall time in its answer. */
export interface RoundTrip {
  readonly sentAt: number;
  readonly receivedAt: number;
  readonly nodeAt: number;
}

/** The skew of one node's clock, in milliseconds. */
export class ClockSkew {
  private _shortestMs = Number.POSITIVE_INFINITY;
  private _aheadMs = 0;

  /** How far the node's clock is ahead of the local clock. */
  public get aheadMs(): number {
    return this._aheadMs;
  }

  public observe({ nodeAt, receivedAt, sentAt }: RoundTrip): void {
    const tripMs = receivedAt - sentAt;
    if (tripMs > this._shortestMs) {
      return;
    }
    this._shortestMs = tripMs;
    this._aheadMs = nodeAt - (sentAt + receivedAt) / 2;
  }
}
