/** The steps of the endings model: what a target or a caller does during one attempt. Not shipped. */
import type { ManualClock } from '@tanagerdyke/kernel';
import { CallKind, type RawHeaders } from '../common/Messages.js';
import type { ExchangeObserver, UpstreamRequest } from './Upstream.js';

const EVENTS = 3;
/** After the deadline of each played request. */
const LATE_MS = 3_500;

/** What becomes of one attempt. */
export enum Step {
  Unreachable = 'unreachable',
  ResetAfterSending = 'reset after sending',
  Misdirected = 'misdirected',
  RefusedUnrun = 'refused unrun',
  Failed = 'failed',
  Answered = 'answered',
  CutShort = 'cut short',
  ForeignAnswer = 'foreign answer',
  ExtraAnswer = 'extra answer',
  Silent = 'silent',
  LateAnswer = 'late answer',
  CallerLeaves = 'caller leaves',
}

/** An attempt as its target saw it. */
export interface Attempt {
  readonly hasArrived: boolean;
  /** Whether the work was, or may have been, done. */
  readonly mayHaveRun: boolean;
  isOpen: boolean;
  readonly isAfterCallerLeft: boolean;
}

/** A target's side of one exchange. */
export class PlayedTarget {
  constructor(
    private readonly _kind: CallKind,
    private readonly _request: UpstreamRequest,
    private readonly _observer: ExchangeObserver,
    private readonly _attempt: Attempt,
  ) {}

  public receive(): void {
    this._observer.onSent();
  }

  public head(status: number, headers: RawHeaders = ['Attempt', 'a1']): void {
    this._tell(() => {
      this._observer.onHead(status, headers);
    });
  }

  /** Sends all of the answer that this request asks for, or only a part that ends within an event. */
  public data(isComplete = true): void {
    const text = this._kind === CallKind.Stream ? eventsAfter(this._lastEventId) : CALL_BODY;
    this.bytes(isComplete ? text : text.slice(0, Math.floor(text.length / 2) + 1));
  }

  public bytes(text: string): void {
    this._tell(() => {
      this._observer.onData(Buffer.from(text));
    });
  }

  public end(): void {
    this._tell(() => {
      this._attempt.isOpen = false;
      this._observer.onEnd();
    });
  }

  public fail(): void {
    this._tell(() => {
      this._attempt.isOpen = false;
      this._observer.onError(new Error('played failure'));
    });
  }

  private get _lastEventId(): number {
    const index = this._request.headers.indexOf('Last');
    return index === -1 ? 0 : Number(this._request.headers[index + 1]);
  }

  /** Nothing reaches a sender that gave the exchange up. */
  private _tell(event: () => void): void {
    if (this._attempt.isOpen) {
      event();
    }
  }
}

/** Does one step; `leave` makes the caller go. */
type StepPlay = (target: PlayedTarget, clock: ManualClock, leave: () => void) => void;

/** Steps in which the work is certainly not done. */
export const UNRUN: ReadonlySet<Step> = new Set([
  Step.Unreachable,
  Step.Misdirected,
  Step.RefusedUnrun,
]);
/** How each step looks to the sender. */
export const PLAYS: Record<Step, StepPlay> = {
  [Step.Unreachable]: (target) => {
    target.fail();
  },
  [Step.ResetAfterSending]: (target) => {
    target.receive();
    target.fail();
  },
  [Step.Misdirected]: (target) => {
    target.receive();
    target.head(421, ['Not-Run', '1']);
    target.end();
  },
  [Step.RefusedUnrun]: (target) => {
    target.receive();
    target.head(503, ['Attempt', 'a1', 'Not-Run', '1']);
    target.end();
  },
  [Step.Failed]: (target) => {
    target.receive();
    target.head(500);
    target.bytes('an error');
    target.end();
  },
  [Step.Answered]: (target) => {
    target.receive();
    target.head(200);
    target.data();
    target.end();
  },
  [Step.CutShort]: (target) => {
    target.receive();
    target.head(200);
    target.data(false);
    target.fail();
  },
  [Step.ForeignAnswer]: (target) => {
    target.receive();
    target.head(200, ['Attempt', 'other']);
    target.bytes('id: 1\ndata: foreign\n\n');
    target.end();
  },
  [Step.ExtraAnswer]: (target) => {
    target.receive();
    target.head(200);
    target.data();
    target.end();
    target.bytes('id: 9\ndata: extra\n\n');
    target.end();
  },
  [Step.Silent]: (target) => {
    target.receive();
  },
  [Step.LateAnswer]: (target, clock) => {
    target.receive();
    clock.schedule(LATE_MS, () => {
      target.head(200);
      target.data();
      target.end();
    });
  },
  [Step.CallerLeaves]: (target, _clock, leave) => {
    target.receive();
    leave();
  },
};

const CALL_BODY = 'the whole answer of a call';

/** The bytes that a caller should get. */
export function wholeBody(kind: CallKind): string {
  return kind === CallKind.Stream ? eventsAfter(0) : CALL_BODY;
}

function eventsAfter(last: number): string {
  return Array.from({ length: EVENTS }, (_each, index) => index + 1)
    .filter((id) => id > last)
    .map((id) => `id: ${id}\ndata: event ${id}\n\n`)
    .join('');
}
