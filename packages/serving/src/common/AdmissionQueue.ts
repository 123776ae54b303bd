/**
 * The queue of requests that wait for an engine at this entry node. Each length class has its own
 * queue, so that long prompts never block short ones. Within a class, workspaces take turns by
 * deficit round robin (Shreedhar and Varghese 1995) on estimated tokens, so that a large workspace
 * can't starve a small one. Queues are bounded, and an expired entry leaves at once.
 */
import {
  type Clock,
  type Disposable,
  DisposableOwner,
  ErrorKind,
  type ServiceError,
  toDisposable,
} from '@tanagerdyke/kernel';
import { type LengthClass } from '@tanagerdyke/contracts';
import { Result } from 'true-myth';
import { overloaded } from './PlacementErrors.js';

/** Requests that one class may have waiting. */
const MAX_WAITING = 512;
/** Tokens that a workspace of weight 1 earns in each round. */
const QUANTUM_TOKENS = 4_000;
/** Shortest and longest pause between two tries. */
const MIN_PAUSE_MS = 5;
const MAX_PAUSE_MS = 250;
/** Weight of the newest observation in the rate of admissions. */
const RATE_SMOOTHING = 0.1;
const DEFAULT_RETRY_MS = 1_000;

/** One try to place a request: placed, refused for now, or failed for good. */
export type PlacementTry<T> = () => Promise<Result<T, ServiceError>>;

/** A request that wants to be admitted. */
export interface AdmissionTicket<T> {
  readonly lengthClass: LengthClass;
  readonly workspace: string;
  readonly weight: number;
  /** Estimated tokens; the cost in the round robin. */
  readonly tokens: number;
  readonly deadline: number;
  /** Time that the request needs after it was placed. */
  readonly runMs: number;
  readonly signal: AbortSignal;
  readonly attempt: PlacementTry<T>;
  /** Gives a placement back that came after its ticket had ended. */
  readonly giveBack: (placement: T) => void;
}

interface Waiting<T> {
  readonly ticket: AdmissionTicket<T>;
  readonly settle: (result: Result<T, ServiceError>) => void;
  readonly held: Disposable[];
  hasEnded: boolean;
}

interface Turn<T> {
  readonly entries: Waiting<T>[];
  deficit: number;
}

/** The queues of one entry node. */
export class AdmissionQueue<T> extends DisposableOwner {
  private readonly _lanes = new Map<LengthClass, Lane<T>>();

  constructor(private readonly _clock: Clock) {
    super();
  }

  /** Places a request, at once or after waiting its turn. */
  public admit(ticket: AdmissionTicket<T>): Promise<Result<T, ServiceError>> {
    let lane = this._lanes.get(ticket.lengthClass);
    if (lane === undefined) {
      lane = this.register(new Lane<T>(this._clock));
      this._lanes.set(ticket.lengthClass, lane);
    }
    return lane.admit(ticket);
  }

  /** Requests that wait in a class. */
  public waiting(lengthClass: LengthClass): number {
    return this._lanes.get(lengthClass)?.size ?? 0;
  }
}

/** The queue of one class. */
class Lane<T> extends DisposableOwner {
  /** Workspaces in the order of their turns. */
  private readonly _turns = new Map<string, Turn<T>>();
  private _size = 0;
  private _waitingTokens = 0;
  private _isServing = false;
  private _tokensPerMs = 0;
  private _admittedAt: number | undefined;

  constructor(private readonly _clock: Clock) {
    super();
  }

  public get size(): number {
    return this._size;
  }

  public async admit(ticket: AdmissionTicket<T>): Promise<Result<T, ServiceError>> {
    if (this._size === 0) {
      const placed = await ticket.attempt();
      if (placed.isOk || placed.error.kind !== ErrorKind.Overloaded) {
        return placed;
      }
    }
    const waitMs = this._estimateWait(ticket);
    const isLate = this._clock.now() + waitMs + ticket.runMs > ticket.deadline;
    if (isLate || this._size >= MAX_WAITING) {
      return Result.err(overloaded(Math.max(waitMs, DEFAULT_RETRY_MS)));
    }
    return this._enqueue(ticket);
  }

  private _enqueue(ticket: AdmissionTicket<T>): Promise<Result<T, ServiceError>> {
    return new Promise((settle) => {
      const waiting: Waiting<T> = { ticket, settle, held: [], hasEnded: false };
      const expire = (): void => {
        const retryMs = Math.max(this._estimateWait(ticket), DEFAULT_RETRY_MS);
        this._end(waiting, Result.err(overloaded(retryMs)));
      };
      const leftMs = ticket.deadline - ticket.runMs - this._clock.now();
      waiting.held.push(this._clock.schedule(leftMs, expire));
      ticket.signal.addEventListener('abort', expire, { once: true });
      waiting.held.push(
        toDisposable(() => {
          ticket.signal.removeEventListener('abort', expire);
        }),
      );
      const turn = this._turns.get(ticket.workspace) ?? { entries: [], deficit: 0 };
      turn.entries.push(waiting);
      this._turns.set(ticket.workspace, turn);
      this._size++;
      this._waitingTokens += ticket.tokens;
      if (!this._isServing) {
        this._isServing = true;
        void this._serveTask();
      }
    });
  }

  /** Tries the request whose turn it is until nothing waits any more. */
  private async _serveTask(): Promise<void> {
    for (let head = this._nextHead(); head !== undefined; head = this._nextHead()) {
      const placed = await head.ticket.attempt();
      if (placed.isErr && placed.error.kind === ErrorKind.Overloaded) {
        const pauseMs = placed.error.retryAfterMs ?? MAX_PAUSE_MS;
        const boundedMs = Math.min(MAX_PAUSE_MS, Math.max(MIN_PAUSE_MS, pauseMs));
        await this._clock.sleep(boundedMs, this.disposal);
        continue;
      }
      if (head.hasEnded) {
        placed.map(head.ticket.giveBack);
        continue;
      }
      this._charge(head.ticket);
      this._end(head, placed);
    }
    // A pause without a queue says nothing about the rate at which a queue is worked off.
    this._admittedAt = undefined;
    this._isServing = false;
  }

  /** The head of the first workspace in turn whose deficit covers it. */
  private _nextHead(): Waiting<T> | undefined {
    while (this._turns.size > 0 && !this.isDisposed) {
      for (const [workspace, turn] of this._turns) {
        const [head] = turn.entries;
        if (head === undefined) {
          this._turns.delete(workspace);
          continue;
        }
        if (turn.deficit >= head.ticket.tokens) {
          return head;
        }
        turn.deficit += QUANTUM_TOKENS * head.ticket.weight;
        this._turns.delete(workspace);
        this._turns.set(workspace, turn);
      }
    }
    return undefined;
  }

  private _charge({ workspace, tokens }: AdmissionTicket<T>): void {
    const turn = this._turns.get(workspace);
    if (turn !== undefined) {
      turn.deficit -= tokens;
    }
    const now = this._clock.now();
    if (this._admittedAt !== undefined) {
      const rate = tokens / Math.max(1, now - this._admittedAt);
      const known = this._tokensPerMs === 0 ? rate : this._tokensPerMs;
      this._tokensPerMs = known + (rate - known) * RATE_SMOOTHING;
    }
    this._admittedAt = now;
  }

  /** The wait that the tokens in the queue mean at the rate of late admissions. */
  private _estimateWait({ tokens }: AdmissionTicket<T>): number {
    if (this._size === 0 || this._tokensPerMs <= 0) {
      return 0;
    }
    return (this._waitingTokens + tokens) / this._tokensPerMs;
  }

  private _end(waiting: Waiting<T>, result: Result<T, ServiceError>): void {
    if (waiting.hasEnded) {
      return;
    }
    waiting.hasEnded = true;
    for (const each of waiting.held) {
      each.dispose();
    }
    const { ticket } = waiting;
    const turn = this._turns.get(ticket.workspace);
    turn?.entries.splice(turn.entries.indexOf(waiting), 1);
    if (turn?.entries.length === 0) {
      this._turns.delete(ticket.workspace);
    }
    this._size--;
    this._waitingTokens -= ticket.tokens;
    waiting.settle(result);
  }
}
