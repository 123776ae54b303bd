/**
 * One structured line for each decision that touches a request or changes what the process
 * believes. Lines go to a sink that must not block; what it can't take is dropped and counted, and
 * the count is written with the next line that passes.
 */
import type { Clock, Fields } from '@tanagerdyke/kernel';

/** Takes a line; `false` when it is full. */
export type LineSink = (line: string) => boolean;

/** The decision log of one process. */
export class DecisionLog {
  private _dropped = 0;

  constructor(
    private readonly _clock: Clock,
    private readonly _node: string,
    private readonly _sink: LineSink,
  ) {}

  /** Lines that the sink could not take so far. */
  public get dropped(): number {
    return this._dropped;
  }

  /** Writes one line; `event` is the dotted name of the decision. */
  public note(event: string, fields: Fields = {}): void {
    const dropped = this._dropped > 0 ? { droppedBefore: this._dropped } : {};
    const line = JSON.stringify({
      at: this._clock.wallTime(),
      node: this._node,
      event,
      ...fields,
      ...dropped,
    });
    this._dropped = this._sink(line) ? 0 : this._dropped + 1;
  }
}
