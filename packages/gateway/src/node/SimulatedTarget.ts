/** The steps of a request simulation: what a target or caller does in one attempt. Not shipped. */
import type { ManualClock } from '@tanagerdyke/kernel';
import { CallKind, type RawHeaders } from '../common/Messages.js';
import type { ExchangeObserver, UpstreamRequest } from './Upstream.js';

const EVENTS = 3;
/** Longer than the deadline of a simulated request. */
const LATE_ANSWER_DELAY_MS = 3_500;

/** What happens to one attempt. */
export enum Step {
  Unreachable = 'unreachable',
  ResetAfterSending = 'reset after sending',
  Misdirected = 'misdirected',
  Refused = 'refused unrun',
  Failed = 'failed',
  Answered = 'answered',
  Truncated = 'cut short',
  ForeignAnswer = 'foreign answer',
  ExtraAnswer = 'extra answer',
  Silent = 'silent',
  LateAnswer = 'late answer',
  CallerDisconnects = 'caller leaves',
}

/** State of an attempt at its target. */
export interface Attempt {
  readonly hasArrived: boolean;
  /** Whether the request ran or may have run. */
  readonly mayHaveRun: boolean;
  /** Whether the connection is still open. */
  isOpen: boolean;
  readonly isAfterDisconnect: boolean;
}

/** The target's side of one exchange. */
export class SimulatedTarget {
  constructor(
    private readonly _kind: CallKind,
    private readonly _request: UpstreamRequest,
    private readonly _observer: ExchangeObserver,
    private readonly _attempt: Attempt,
  ) {}

  /** Starts to receive the request. */
  public receive(): void {
    this._observer.onSendStart();
  }

  public head(status: number, headers: RawHeaders = ['Attempt', 'a1']): void {
    this._whileOpen(() => {
      this._observer.onHead(status, headers);
    });
  }

  /** Sends the answer from the requested event on, or a part that ends within an event. */
  public data(isComplete = true): void {
    const text = this._kind === CallKind.Stream ? eventsAfter(this._lastEventId) : CALL_BODY;
    this.bytes(isComplete ? text : text.slice(0, Math.floor(text.length / 2) + 1));
  }

  public bytes(text: string): void {
    this._whileOpen(() => {
      this._observer.onData(Buffer.from(text));
    });
  }

  public end(): void {
    this._whileOpen(() => {
      this._attempt.isOpen = false;
      this._observer.onEnd();
    });
  }

  public fail(): void {
    this._whileOpen(() => {
      this._attempt.isOpen = false;
      this._observer.onError(new Error('simulated failure'));
    });
  }

  private get _lastEventId(): number {
    const index = this._request.headers.indexOf('Last');
    return index === -1 ? 0 : Number(this._request.headers[index + 1]);
  }

  /** An aborted exchange receives no more events. */
  private _whileOpen(event: () => void): void {
    if (this._attempt.isOpen) {
      event();
    }
  }
}

/** Performs one step; `disconnect` closes the caller's connection. */
type StepAction = (target: SimulatedTarget, clock: ManualClock, disconnect: () => void) => void;

/** Steps in which the request certainly does not run. */
export const NOT_RUN_STEPS: ReadonlySet<Step> = new Set([
  Step.Unreachable,
  Step.Misdirected,
  Step.Refused,
]);
/** The events that the sender sees in each step. */
export const STEP_ACTIONS: Record<Step, StepAction> = {
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
  [Step.Refused]: (target) => {
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
  [Step.Truncated]: (target) => {
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
    clock.schedule(LATE_ANSWER_DELAY_MS, () => {
      target.head(200);
      target.data();
      target.end();
    });
  },
  [Step.CallerDisconnects]: (target, _clock, disconnect) => {
    target.receive();
    disconnect();
  },
};

const CALL_BODY = 'the whole answer of a call';

/** The body that a caller should receive. */
export function expectedBody(kind: CallKind): string {
  return kind === CallKind.Stream ? eventsAfter(0) : CALL_BODY;
}

function eventsAfter(last: number): string {
  return Array.from({ length: EVENTS }, (_each, index) => index + 1)
    .filter((id) => id > last)
    .map((id) => `id: ${id}\ndata: event ${id}\n\n`)
    .join('');
}
