/**
 * Finds prompts whose engine has ended them although no end of their stream arrived. Load pattern: the
 * connection of a prompt that is shared by several engines goes silent, so its answer is lost; as long
 * as it is awaited, its memory stays reserved on all of them, and large prompts find no engines. A
 * silent engine is asked, as it may also be slower than predicted.
 */
import { type Clock, DisposableOwner, runInBackground } from '@tanagerdyke/kernel';

/** Time between two questions; the answers are some hundred ms old. */
const CHECK_INTERVAL_MS = 1_000;
/** The last events may still be on their way after the first answer that states the end. */
const MIN_ANSWERS = 2;
/** Time beyond the predicted one in which the first event is not overdue. */
const FIRST_EVENT_MARGIN_MS = 1_000;

export interface LostAnswerCheckOptions {
  readonly clock: Clock;
  /** Predicted time until the first event. */
  readonly firstEventMs: number;
  /** Longest usual wait for each later event. */
  readonly nextEventMs: number;
  /** Events received so far. */
  readonly eventCount: () => number;
  /** Asks the engine whether it has ended the prompt. */
  readonly hasEnded: () => Promise<boolean>;
}

/** Watches one attempt until it is disposed. */
export class LostAnswerCheck extends DisposableOwner {
  private readonly _lost = new AbortController();

  constructor(private readonly _options: LostAnswerCheckOptions) {
    super();
    runInBackground('stream.lost-answer-check', () => this._run());
  }

  /** Aborts when the engine has ended the prompt, and its answer was lost. */
  public get lostSignal(): AbortSignal {
    return this._lost.signal;
  }

  private async _run(): Promise<void> {
    const { clock, eventCount, firstEventMs, hasEnded, nextEventMs } = this._options;
    const { disposalSignal: signal } = this;
    const eventsBefore = eventCount();
    let events = eventsBefore;
    let progressAt = clock.now();
    let answers = 0;
    while (answers < MIN_ANSWERS) {
      await clock.sleep(CHECK_INTERVAL_MS, signal);
      if (eventCount() !== events) {
        events = eventCount();
        progressAt = clock.now();
      }
      const limitMs = events === eventsBefore ? firstEventMs + FIRST_EVENT_MARGIN_MS : nextEventMs;
      const isOverdue = clock.now() - progressAt > limitMs;
      answers = isOverdue && !signal.aborted && (await hasEnded()) ? answers + 1 : 0;
      if (signal.aborted) {
        return;
      }
    }
    this._lost.abort();
  }
}
