/**
 * The account of the bytes that are held for callers, from the first byte of a request until its
 * answer is sent: bodies that arrive or wait, and answers that were not read yet.
 *
 * Load pattern: crowds that send bodies of legal size and stop short of their end, or send and read
 * very slowly, beside ordinary callers. A request that needs memory that is not left gets it from
 * the requests that are neither received nor read and have cost most so far, in bytes by time; if it
 * has cost most itself, it is refused. Requests that hold little have a reserve. A request that may
 * be running at a target is never closed.
 */
import type { CallerMemoryLimits } from './CallerLimits.js';

/** Requests that hold up to this may use the reserve: twice an ordinary body, and its objects. */
const SMALL_BYTES = 128 * 1024;
/** Share of the large bytes that callers may leave unread when a further answer comes. */
const UNREAD_SHARE = 0.5;
/** Room for one of the largest bodies, however much memory is resident: some may never be freed. */
const ALWAYS_PERMITTED_BYTES = 10 * 1024 * 1024;
/** Cost of a request beside its body: its objects and header fields. */
export const REQUEST_BYTES = 8 * 1024;

/** What a request that holds bytes is doing. */
export enum HoldingState {
  /** Its body arrives. */
  Receiving = 'receiving',
  /** It waits for its turn or for the answer of a target. */
  Running = 'running',
  /** The caller has not read all of the answer. */
  Unread = 'unread',
}

/** Who holds bytes. */
export interface HoldingOwner {
  /** The caller's workspace, else its address. */
  readonly caller: string;
  /** Identifies the connection. */
  readonly connection: object;
  /** Closes the request; called by whoever gets it as evicted, never by the account. */
  readonly close: () => void;
}

/** The bytes of one request. */
export interface CallerHolding extends HoldingOwner {
  readonly openedAt: number;
  readonly bytes: number;
  state: HoldingState;
}

interface Holding extends CallerHolding {
  bytes: number;
}

/** Why bytes were refused. */
export enum MemoryLimit {
  Connection = 'connection',
  Caller = 'caller',
  All = 'all',
  /** The request was evicted or has ended. */
  Closed = 'closed',
}

/** Whether bytes may be held; `evicted` must be closed first and are not counted any more. */
export type MemoryDecision =
  | { readonly isAccepted: true; readonly evicted: readonly CallerHolding[] }
  | { readonly isAccepted: false; readonly limit: MemoryLimit };

const ACCEPTED: MemoryDecision = { isAccepted: true, evicted: [] };

/** Counts the bytes of all requests of a node. */
export class CallerMemory {
  private readonly _holdings = new Set<CallerHolding>();
  private readonly _byCaller = new Map<string, number>();
  private readonly _byConnection = new Map<object, number>();
  private _bytes = 0;
  private _largeBytes = 0;
  private _isResidentHigh = false;

  constructor(private readonly _limits: CallerMemoryLimits) {}

  /** Bytes of all requests. */
  public get bytes(): number {
    return this._bytes;
  }

  /** Records the resident memory of the process, which also has what was released but not freed. */
  public recordResident(bytes: number): void {
    this._isResidentHigh = bytes > this._limits.residentBytes;
  }

  /** Counts a request; it may not be refused yet, as its answer needs its objects. */
  public open(owner: HoldingOwner, now: number): CallerHolding {
    const holding: Holding = {
      ...owner,
      openedAt: now,
      bytes: 0,
      state: HoldingState.Receiving,
    };
    this._holdings.add(holding);
    this._count(holding, REQUEST_BYTES);
    return holding;
  }

  /** Decides whether a request may hold more bytes, and counts them if so. */
  public grow(holding: CallerHolding, bytes: number, now: number): MemoryDecision {
    const { callerBytes, connectionBytes } = this._limits;
    if (!this._holdings.has(holding)) {
      return { isAccepted: false, limit: MemoryLimit.Closed };
    }
    if ((this._byConnection.get(holding.connection) ?? 0) + bytes > connectionBytes) {
      return { isAccepted: false, limit: MemoryLimit.Connection };
    }
    if ((this._byCaller.get(holding.caller) ?? 0) + bytes > callerBytes) {
      return this._growAfterEviction(holding, bytes, now, MemoryLimit.Caller);
    }
    if (!this._fits(holding, bytes)) {
      return this._growAfterEviction(holding, bytes, now, MemoryLimit.All);
    }
    this._count(holding, bytes);
    return ACCEPTED;
  }

  /**
   * Counts bytes that cannot be refused, as the answer to a request that has run. Returns what must
   * be closed instead.
   */
  public add(holding: CallerHolding, bytes: number, now: number): readonly CallerHolding[] {
    this._count(holding, bytes);
    const { bytes: most, largeBytes } = this._limits;
    const evicted: CallerHolding[] = [];
    for (const each of this._closable(holding, now)) {
      if (this._bytes <= most && this._largeBytes <= largeBytes * UNREAD_SHARE) {
        break;
      }
      this.release(each);
      evicted.push(each);
    }
    return evicted;
  }

  /** Stops counting bytes of a request that goes on. */
  public shrink(holding: CallerHolding, bytes: number): void {
    this._count(holding, -Math.min(bytes, holding.bytes));
  }

  /** Stops counting a request. */
  public release(holding: CallerHolding): void {
    this._count(holding, -holding.bytes);
    this._holdings.delete(holding);
  }

  private _fits(holding: CallerHolding, bytes: number, freed = 0, freedLarge = 0): boolean {
    const { bytes: most, largeBytes } = this._limits;
    const size = holding.bytes + bytes;
    if (size <= SMALL_BYTES) {
      return this._bytes - freed + bytes <= most;
    }
    const added = holding.bytes > SMALL_BYTES ? bytes : size;
    const permitted = this._isResidentHigh ? ALWAYS_PERMITTED_BYTES : largeBytes;
    return (
      this._bytes - freed + bytes <= most && this._largeBytes - freedLarge + added <= permitted
    );
  }

  /** Evicts the requests that have cost most, if they have cost more than this one and that helps. */
  private _growAfterEviction(
    holding: CallerHolding,
    bytes: number,
    now: number,
    limit: MemoryLimit,
  ): MemoryDecision {
    const ownCost = costOf(holding, holding.bytes + bytes, now);
    const candidates = this._closable(holding, now).filter(
      (each) =>
        costOf(each, each.bytes, now) > ownCost &&
        (limit === MemoryLimit.All || each.caller === holding.caller),
    );
    const { callerBytes } = this._limits;
    const evicted: CallerHolding[] = [];
    let freed = 0;
    let freedLarge = 0;
    let freedOfCaller = 0;
    for (const each of candidates) {
      evicted.push(each);
      freed += each.bytes;
      freedLarge += each.bytes > SMALL_BYTES ? each.bytes : 0;
      freedOfCaller += each.caller === holding.caller ? each.bytes : 0;
      const ofCaller = (this._byCaller.get(holding.caller) ?? 0) - freedOfCaller + bytes;
      if (ofCaller <= callerBytes && this._fits(holding, bytes, freed, freedLarge)) {
        evicted.forEach((victim) => {
          this.release(victim);
        });
        this._count(holding, bytes);
        return { isAccepted: true, evicted };
      }
    }
    return { isAccepted: false, limit };
  }

  /** Requests other than this one that may be closed, those that have cost most first. */
  private _closable(holding: CallerHolding, now: number): readonly CallerHolding[] {
    return [...this._holdings]
      .filter((each) => each !== holding && each.state !== HoldingState.Running)
      .map((each) => ({ each, cost: costOf(each, each.bytes, now) }))
      .sort((left, right) => right.cost - left.cost)
      .map(({ each }) => each);
  }

  private _count(holding: CallerHolding, bytes: number): void {
    if (!this._holdings.has(holding)) {
      return;
    }
    const before = holding.bytes;
    const after = before + bytes;
    (holding as Holding).bytes = after;
    this._bytes += bytes;
    this._largeBytes += largePartOf(after) - largePartOf(before);
    addTo(this._byCaller, holding.caller, bytes);
    addTo(this._byConnection, holding.connection, bytes);
  }
}

function largePartOf(bytes: number): number {
  return bytes > SMALL_BYTES ? bytes : 0;
}

/** What a request has cost so far. */
function costOf({ openedAt }: CallerHolding, bytes: number, now: number): number {
  return bytes * (now - openedAt);
}

function addTo<K>(sums: Map<K, number>, key: K, bytes: number): void {
  const sum = (sums.get(key) ?? 0) + bytes;
  if (sum === 0) {
    sums.delete(key);
  } else {
    sums.set(key, sum);
  }
}
