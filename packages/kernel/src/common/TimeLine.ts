/**
 * The time line records an event for every decision of a process. Events are kept in a ring buffer,
 * from which operators read them by sequence number; `tanagerctl timeline` merges the events of all
 * processes.
 */
import { Emitter } from './Emitter.js';
import type { Clock, Fields } from './services/Services.js';

/**
 * One event. `at` is wall time in milliseconds; `sequence` increases by one per event of a process.
 */
export interface TimeLineEvent {
  readonly sequence: number;
  readonly at: number;
  readonly node: string;
  readonly incarnation: number;
  /** Dotted name of the decision, as `claim.won`. */
  readonly name: string;
  readonly fields: Fields;
}

/** Number of events kept per process. */
const RING_CAPACITY = 20_000;

/** Records events and returns them by sequence number. */
export class TimeLine {
  private readonly _ring: TimeLineEvent[] = [];
  private _nextSequence = 0;
  private readonly _onEvent = new Emitter<TimeLineEvent>();
  public readonly onEvent = this._onEvent.event;

  constructor(
    private readonly _clock: Clock,
    private readonly _node: string,
    private _incarnation = 0,
  ) {}

  /** Sequence number of the next event. */
  public get nextSequence(): number {
    return this._nextSequence;
  }

  /** Sets the incarnation of events recorded from now on. */
  public setIncarnation(incarnation: number): void {
    this._incarnation = incarnation;
  }

  public record(name: string, fields: Fields = {}): void {
    const event: TimeLineEvent = {
      sequence: this._nextSequence,
      at: this._clock.wallTime(),
      node: this._node,
      incarnation: this._incarnation,
      name,
      fields,
    };
    this._ring[this._nextSequence % RING_CAPACITY] = event;
    this._nextSequence++;
    this._onEvent.fire(event);
  }

  /**
   * Returns at most `limit` events from sequence number `from` on; discarded events are skipped.
   */
  public read(from: number, limit: number): readonly TimeLineEvent[] {
    const first = Math.max(from, this._nextSequence - RING_CAPACITY, 0);
    const end = Math.min(this._nextSequence, first + limit);
    const events: TimeLineEvent[] = [];
    for (let sequence = first; sequence < end; sequence++) {
      const event = this._ring[sequence % RING_CAPACITY];
      if (event !== undefined) {
        events.push(event);
      }
    }
    return events;
  }
}
