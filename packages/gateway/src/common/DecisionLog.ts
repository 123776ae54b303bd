/**
 * Structured log with one line for each decision that affects a request or changes the state that
 * the process acts on. Lines go to a sink that must not block; a line that the sink rejects is
 * dropped and counted, and the count is written with the next line that is accepted.
 */
import type { Clock, Fields } from '@tanagerdyke/kernel';

/** Accepts a line; returns `false` when its buffer is full. */
export type LineSink = (line: string) => boolean;

/** Writes events as JSON lines with time and node, and counts the lines that were dropped. */
export class DecisionLog {
  private _dropped = 0;

  constructor(
    private readonly _clock: Clock,
    private readonly _node: string,
    private readonly _sink: LineSink,
  ) {}

  /** Lines dropped since the last line that the sink accepted. */
  public get dropped(): number {
    return this._dropped;
  }

  /** Writes one line; `event` is the dotted name of the decision. */
  public write(event: string, fields: Fields = {}): void {
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
