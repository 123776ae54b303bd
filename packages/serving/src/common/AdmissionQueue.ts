/**
 * The queue of requests that wait for an engine at this entry node. Each length class has its own
 * queue, so that long prompts never block short ones. Within a class, workspaces are served by
 * deficit round robin (Shreedhar and Varghese 1995) on estimated tokens, so that a large workspace
 * can't starve a small one. Queues are bounded, and an entry that can no longer meet its deadline
 * is refused immediately.
 */
import {
  type Clock,
  type Disposable,
  DisposableOwner,
  ErrorKind,
  runInBackground,
  type ServiceError,
  toDisposable,
} from '@tanagerdyke/kernel';
import { type LengthClass } from '@tanagerdyke/contracts';
import { Result } from 'true-myth';
import { overloaded } from './PlacementErrors.js';

/** Maximum number of queued requests of one length class. */
const MAX_QUEUED_REQUESTS = 512;
/** Tokens added to the deficit of a workspace of weight 1 in each round. */
const QUANTUM_TOKENS = 4_000;
/** Shortest and longest interval between two tries to place the next request. */
const MIN_RETRY_INTERVAL_MS = 5;
const MAX_RETRY_INTERVAL_MS = 250;
/** Weight of the newest sample in the moving average of the admission rate. */
const RATE_SMOOTHING = 0.1;
/** Shortest retry time given to a refused request. */
const MIN_RETRY_AFTER_MS = 1_000;

/**
 * Tries to place a request once. An `Overloaded` error may be retried; any other error is final.
 */
export type PlacementAttempt<T> = () => Promise<Result<T, ServiceError>>;

/** A request for admission. */
export interface AdmissionTicket<T> {
  readonly lengthClass: LengthClass;
  readonly workspace: string;
  readonly weight: number;
  /** Estimated tokens, which are the cost in the round robin. */
  readonly tokens: number;
  /** In milliseconds on the monotonic clock of this node. */
  readonly deadline: number;
  /** Estimated time from placement to completion, on an idle engine. */
  readonly runMs: number;
  readonly signal: AbortSignal;
  readonly tryPlace: PlacementAttempt<T>;
  /** Releases a placement that succeeded after the ticket was settled. */
  readonly releaseLate: (placement: T) => void;
}

interface QueueEntry<T> {
  readonly ticket: AdmissionTicket<T>;
  readonly resolve: (result: Result<T, ServiceError>) => void;
  readonly disposables: Disposable[];
  isSettled: boolean;
}

interface WorkspaceQueue<T> {
  readonly entries: QueueEntry<T>[];
  deficit: number;
}

/** Admits the requests of one entry node through one queue per length class. */
export class AdmissionQueue<T> extends DisposableOwner {
  private readonly _classes = new Map<LengthClass, ClassQueue<T>>();

  constructor(private readonly _clock: Clock) {
    super();
  }

  /** Places a request, immediately if nothing is queued, else in its turn. */
  public admit(ticket: AdmissionTicket<T>): Promise<Result<T, ServiceError>> {
    let classQueue = this._classes.get(ticket.lengthClass);
    if (classQueue === undefined) {
      classQueue = this.register(new ClassQueue<T>(this._clock));
      this._classes.set(ticket.lengthClass, classQueue);
    }
    return classQueue.admit(ticket);
  }

  /** Number of queued requests of a length class. */
  public queueLength(lengthClass: LengthClass): number {
    return this._classes.get(lengthClass)?.size ?? 0;
  }
}

/** The queue of one length class. */
class ClassQueue<T> extends DisposableOwner {
  /** Queues by workspace, in round-robin order. */
  private readonly _workspaces = new Map<string, WorkspaceQueue<T>>();
  private _size = 0;
  private _queuedTokens = 0;
  private _isDispatching = false;
  private _admittedTokensPerMs = 0;
  private _lastAdmittedAt: number | undefined;

  constructor(private readonly _clock: Clock) {
    super();
  }

  public get size(): number {
    return this._size;
  }

  public async admit(ticket: AdmissionTicket<T>): Promise<Result<T, ServiceError>> {
    if (this._size === 0) {
      const placement = await ticket.tryPlace();
      if (placement.isOk || placement.error.kind !== ErrorKind.Overloaded) {
        return placement;
      }
    }
    const waitMs = this._estimateWaitMs(ticket);
    const isLate = this._clock.now() + waitMs + ticket.runMs > ticket.deadline;
    if (isLate || this._size >= MAX_QUEUED_REQUESTS) {
      return Result.err(overloaded(Math.max(waitMs, MIN_RETRY_AFTER_MS)));
    }
    return this._enqueue(ticket);
  }

  private _enqueue(ticket: AdmissionTicket<T>): Promise<Result<T, ServiceError>> {
    return new Promise((resolve) => {
      const entry: QueueEntry<T> = { ticket, resolve, disposables: [], isSettled: false };
      const expire = (): void => {
        const retryMs = Math.max(this._estimateWaitMs(ticket), MIN_RETRY_AFTER_MS);
        this._settle(entry, Result.err(overloaded(retryMs)));
      };
      const slackMs = ticket.deadline - ticket.runMs - this._clock.now();
      entry.disposables.push(this._clock.schedule(slackMs, expire));
      ticket.signal.addEventListener('abort', expire, { once: true });
      entry.disposables.push(
        toDisposable(() => {
          ticket.signal.removeEventListener('abort', expire);
        }),
      );
      const workspaceQueue = this._workspaces.get(ticket.workspace) ?? { entries: [], deficit: 0 };
      workspaceQueue.entries.push(entry);
      this._workspaces.set(ticket.workspace, workspaceQueue);
      this._size++;
      this._queuedTokens += ticket.tokens;
      if (!this._isDispatching) {
        this._isDispatching = true;
        runInBackground('queue.dispatch', () => this._dispatchTask());
      }
    });
  }

  /** Places queued requests in round-robin order until the queue is empty. */
  private async _dispatchTask(): Promise<void> {
    try {
      for (let entry = this._nextEntry(); entry !== undefined; entry = this._nextEntry()) {
        const placed = await entry.ticket.tryPlace();
        if (placed.isErr && placed.error.kind === ErrorKind.Overloaded) {
          const retryAfterMs = placed.error.retryAfterMs ?? MAX_RETRY_INTERVAL_MS;
          const boundedMs = Math.min(
            MAX_RETRY_INTERVAL_MS,
            Math.max(MIN_RETRY_INTERVAL_MS, retryAfterMs),
          );
          await this._clock.sleep(boundedMs, this.disposalSignal);
          continue;
        }
        if (entry.isSettled) {
          placed.map(entry.ticket.releaseLate);
          continue;
        }
        this._recordAdmission(entry.ticket);
        this._settle(entry, placed);
      }
    } finally {
      this._isDispatching = false;
    }
    // The time until the queue fills again must not lower the admission rate.
    this._lastAdmittedAt = undefined;
  }

  /** The first entry of the next workspace whose deficit covers the cost of that entry. */
  private _nextEntry(): QueueEntry<T> | undefined {
    while (this._workspaces.size > 0 && !this.isDisposed) {
      for (const [workspace, workspaceQueue] of this._workspaces) {
        const [head] = workspaceQueue.entries;
        if (head === undefined) {
          this._workspaces.delete(workspace);
          continue;
        }
        if (workspaceQueue.deficit >= head.ticket.tokens) {
          return head;
        }
        workspaceQueue.deficit += QUANTUM_TOKENS * head.ticket.weight;
        this._workspaces.delete(workspace);
        this._workspaces.set(workspace, workspaceQueue);
      }
    }
    return undefined;
  }

  private _recordAdmission({ workspace, tokens }: AdmissionTicket<T>): void {
    const workspaceQueue = this._workspaces.get(workspace);
    if (workspaceQueue !== undefined) {
      workspaceQueue.deficit -= tokens;
    }
    const now = this._clock.now();
    if (this._lastAdmittedAt !== undefined) {
      const rate = tokens / Math.max(1, now - this._lastAdmittedAt);
      const average = this._admittedTokensPerMs === 0 ? rate : this._admittedTokensPerMs;
      this._admittedTokensPerMs = average + (rate - average) * RATE_SMOOTHING;
    }
    this._lastAdmittedAt = now;
  }

  /** Estimated time to admit the queued tokens and the ticket at the recent admission rate. */
  private _estimateWaitMs({ tokens }: AdmissionTicket<T>): number {
    if (this._size === 0 || this._admittedTokensPerMs <= 0) {
      return 0;
    }
    return (this._queuedTokens + tokens) / this._admittedTokensPerMs;
  }

  private _settle(entry: QueueEntry<T>, result: Result<T, ServiceError>): void {
    if (entry.isSettled) {
      return;
    }
    entry.isSettled = true;
    for (const disposable of entry.disposables) {
      disposable.dispose();
    }
    const { ticket } = entry;
    const workspaceQueue = this._workspaces.get(ticket.workspace);
    workspaceQueue?.entries.splice(workspaceQueue.entries.indexOf(entry), 1);
    if (workspaceQueue?.entries.length === 0) {
      this._workspaces.delete(ticket.workspace);
    }
    this._size--;
    this._queuedTokens -= ticket.tokens;
    entry.resolve(result);
  }
}
