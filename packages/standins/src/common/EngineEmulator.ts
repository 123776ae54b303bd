/**
 * Emulates a model engine: continuous batching in steps, chunked prefill by priority, a prefix
 * cache within the KV memory, resumption from a position, cancellation, held items with expiry, KV
 * export and import, orders with or without fencing, and a delayed load report. The duration of a
 * step follows from the tokens that it processes; a scale factor makes engine time pass faster than
 * real time. The emulator counts what it executed, so that proof runs don't rely on the daemons.
 */
import { createHash } from 'node:crypto';
import { type Clock, type Disposable, DisposableOwner, ErrorKind } from '@tanagerdyke/kernel';
import {
  type CacheEvent,
  CacheEventKind,
  type EngineFrame,
  type EngineOrder,
  type EngineRequest,
  HeldKind,
  type HeldItem,
  type LoadReport,
  OrderKind,
} from '@tanagerdyke/contracts';
import { type CachedPrefix, PrefixCache } from './PrefixCache.js';

/** Speeds and limits of an engine. Speeds and step times are engine time, both lags real time. */
export interface EngineProfile {
  /** Capacity of the KV memory. */
  readonly memoryTokens: number;
  readonly prefillTokensPerSecond: number;
  /** Duration of a step that decodes a single stream. */
  readonly decodeStepMs: number;
  /** Added to the step duration by each further decoding stream. */
  readonly batchSlopeMs: number;
  /** Maximum number of prefill tokens in one step. */
  readonly chunkTokens: number;
  /** Fraction of the linear speed-up that a gang of engines reaches. */
  readonly gangEfficiency: number;
  /** Ratio of engine time to real time. */
  readonly timeScale: number;
  /** Whether the engine refuses orders with an outdated fencing number. */
  readonly checksFencing: boolean;
  /** Delay before a load snapshot is reported, and the interval between snapshots. */
  readonly loadReportLagMs: number;
  /** Delay before a cache event can be read. */
  readonly cacheEventLagMs: number;
  /** Drops every n-th cache event; 0 drops none. */
  readonly cacheEventGap: number;
  /** Model versions that are loaded from the start. */
  readonly versions: readonly string[];
}

export const DEFAULT_PROFILE: EngineProfile = {
  memoryTokens: 400_000,
  prefillTokensPerSecond: 20_000,
  decodeStepMs: 20,
  batchSlopeMs: 0.25,
  chunkTokens: 512,
  gangEfficiency: 0.85,
  timeScale: 1,
  checksFencing: true,
  loadReportLagMs: 1_000,
  cacheEventLagMs: 500,
  cacheEventGap: 17,
  versions: [],
};

/** Why an engine refuses a request. */
export interface EngineRefusal {
  readonly kind: ErrorKind;
  readonly detail: string;
}

/** Receives the frames of one stream, or `undefined` when it was cancelled or failed. */
export type FrameSink = (frame: EngineFrame | undefined) => void;

/** The progress of one attempt; the demo counts completed streams by it. */
export interface AttemptRecord {
  readonly id: string;
  /** The daemon that sent the attempt. */
  readonly node: string;
  /** Wall time at which the attempt arrived. */
  readonly at: number;
  /** Position after the last delivered token; 0 before the first one, also when resuming. */
  readonly tokensDelivered: number;
  readonly hasEnded: boolean;
}

/** A queued or running request. */
interface Stream {
  readonly request: EngineRequest;
  readonly sink: FrameSink;
  readonly prefixes: readonly CachedPrefix[];
  readonly promptDigest: string;
  /** KV memory that the stream takes on this engine; a gang divides the total evenly. */
  readonly memoryTokens: number;
  readonly gangSize: number;
  prefillLeft: number;
  /** Position of the next output token. */
  position: number;
  /** Whether the stream is in the batch and occupies its memory, rather than queued. */
  isRunning: boolean;
}

interface HeldEntry {
  readonly item: HeldItem;
  readonly expiryTimer: Disposable;
}

const MS_PER_SECOND = 1_000;
/** Fraction of the shorter of prefill and decoding by which a mixed step exceeds the longer. */
const MIXED_STEP_COST = 0.15;
const TOKEN_HEX_DIGITS = 8;
const MAX_CACHE_EVENTS = 10_000;

/** An emulated engine with its streams, held items, prefix cache and loaded versions. */
export class EngineEmulator extends DisposableOwner {
  /** Reported to the daemons from the next load snapshot on; changes nothing else. */
  public isLeaving = false;
  private readonly _streams = new Map<string, Stream>();
  private readonly _heldEntries = new Map<string, HeldEntry>();
  private readonly _attempts = new Map<string, AttemptRecord>();
  private readonly _cache: PrefixCache;
  private readonly _cacheEvents: CacheEvent[] = [];
  private readonly _versions: Set<string>;
  private _cachedTokens = 0;
  private _promptTokens = 0;
  private _cacheSequence = 0;
  private _highestFencing = -1;
  private _reportedLoad: LoadReport;
  private _isStepping = false;

  constructor(
    private readonly _clock: Clock,
    private readonly _incarnation: string,
    private readonly _profile: EngineProfile,
  ) {
    super();
    this._versions = new Set(_profile.versions);
    this._cache = new PrefixCache((kind, prefix) => {
      this._recordCacheEvent(kind, prefix);
    });
    this._reportedLoad = this._currentLoad();
    this._scheduleLoadReport();
  }

  /** Starts a stream or returns why not. `sink` gets frames up to the last one or `undefined`. */
  public generate(request: EngineRequest, sink: FrameSink): EngineRefusal | undefined {
    const refusal = this._checkRequest(request);
    if (refusal !== undefined) {
      return refusal;
    }
    const promptTokens = request.prompt.reduce((total, { tokens }) => total + tokens, 0);
    const gangSize = request.gang.length + 1;
    const prefixes = prefixesOf(request);
    this._streams.set(request.id, {
      request,
      sink,
      prefixes,
      promptDigest: prefixes.at(-1)?.prefix ?? '',
      memoryTokens: Math.ceil((promptTokens + request.maxTokens) / gangSize),
      gangSize,
      prefillLeft: promptTokens + request.fromPosition,
      position: request.fromPosition,
      isRunning: false,
    });
    this._recordAttempt(request.id, request.node, 0, false);
    this._startStepping();
    return undefined;
  }

  /** Cancels streams and frees held items; ignores unknown identifiers. */
  public free(identifiers: readonly string[]): void {
    for (const id of identifiers) {
      this._heldEntries.get(id)?.expiryTimer.dispose();
      this._heldEntries.delete(id);
      const stream = this._streams.get(id);
      if (stream !== undefined) {
        this._streams.delete(id);
        stream.sink(undefined);
      }
    }
  }

  /** Occupies memory for an item until it expires or is freed; holding it twice has no effect. */
  public hold(item: HeldItem): EngineRefusal | undefined {
    if (this._heldEntries.has(item.id)) {
      return undefined;
    }
    if (this.usedTokens + item.tokens > this._profile.memoryTokens) {
      return { kind: ErrorKind.Overloaded, detail: 'not enough KV memory for the item' };
    }
    const expiryTimer = this.register(
      this._clock.schedule(item.expiresInMs, () => {
        this.free([item.id]);
      }),
    );
    this._heldEntries.set(item.id, { item, expiryTimer });
    this._cache.evictToLimit(this._profile.memoryTokens - this.usedTokens);
    return undefined;
  }

  /** Everything that occupies or will occupy memory: streams, queued or running, and held items. */
  public get held(): readonly HeldItem[] {
    const streams = [...this._streams.values()].map(({ request, memoryTokens }) => ({
      id: request.id,
      kind: HeldKind.Stream,
      node: request.node,
      incarnation: request.incarnation,
      tokens: memoryTokens,
      expiresInMs: request.expiresInMs,
    }));
    return [...streams, ...[...this._heldEntries.values()].map(({ item }) => item)];
  }

  /** Holds a copy of the KV cache of a stream or held item under the identifier of `item`. */
  public export(identifier: string, item: HeldItem): EngineRefusal | undefined {
    const exists = this._streams.has(identifier) || this._heldEntries.has(identifier);
    return exists
      ? this.hold({ ...item, kind: HeldKind.Export })
      : { kind: ErrorKind.NotFound, detail: `no stream or item has the id ${identifier}` };
  }

  /** Whether an export is available to other engines under this identifier. */
  public hasExport(identifier: string): boolean {
    return this._heldEntries.get(identifier)?.item.kind === HeldKind.Export;
  }

  /**
   * Refuses an order with a fencing number below the highest one received, and records the number.
   * An engine without `checksFencing` refuses none.
   */
  public checkFencing(order: EngineOrder): EngineRefusal | undefined {
    if (this._profile.checksFencing && order.fencing < this._highestFencing) {
      const detail = `fencing number ${order.fencing} is older than ${this._highestFencing}`;
      return { kind: ErrorKind.FencingRefused, detail };
    }
    this._highestFencing = Math.max(this._highestFencing, order.fencing);
    return undefined;
  }

  /** Loads or unloads the version that an order names; the other kinds of orders have no effect. */
  public applyOrder(order: EngineOrder): void {
    const { kind, version } = order;
    if (version === undefined) {
      return;
    }
    if (kind === OrderKind.LoadVersion) {
      this._versions.add(version);
    } else if (kind === OrderKind.UnloadVersion) {
      this._versions.delete(version);
    }
  }

  /** The latest load report, which lags behind the current load. */
  public get load(): LoadReport {
    return this._reportedLoad;
  }

  /** The events from sequence number `from` on that are not yet discarded. */
  public cacheEvents(from: number): readonly CacheEvent[] {
    return this._cacheEvents.filter(({ sequence }) => sequence >= from);
  }

  public get attempts(): readonly AttemptRecord[] {
    return [...this._attempts.values()];
  }

  /** Prompt tokens admitted so far, and how many of them were found in the prefix cache. */
  public get prefillCounts(): { readonly cachedTokens: number; readonly promptTokens: number } {
    return { cachedTokens: this._cachedTokens, promptTokens: this._promptTokens };
  }

  /** KV memory that running streams and held items occupy; the prefix cache uses the rest. */
  public get usedTokens(): number {
    let used = 0;
    for (const { memoryTokens, isRunning } of this._streams.values()) {
      used += isRunning ? memoryTokens : 0;
    }
    for (const { item } of this._heldEntries.values()) {
      used += item.tokens;
    }
    return used;
  }

  private _checkRequest(request: EngineRequest): EngineRefusal | undefined {
    if (this._streams.has(request.id) || this._attempts.has(request.id)) {
      return { kind: ErrorKind.Conflict, detail: `attempt ${request.id} was already submitted` };
    }
    if (!this._versions.has(request.version)) {
      return { kind: ErrorKind.NotFound, detail: `version ${request.version} is not loaded` };
    }
    const tokens = request.prompt.reduce((total, segment) => total + segment.tokens, 0);
    const memoryTokens = (tokens + request.maxTokens) / (request.gang.length + 1);
    if (memoryTokens > this._profile.memoryTokens) {
      return { kind: ErrorKind.TooLarge, detail: `${memoryTokens} tokens exceed the KV memory` };
    }
    return undefined;
  }

  private _startStepping(): void {
    if (!this._isStepping) {
      this._isStepping = true;
      void this._runSteps();
    }
  }

  /** Runs steps until no stream is queued or running. */
  private async _runSteps(): Promise<void> {
    let stepEndsAt = this._clock.now();
    while (this._streams.size > 0 && !this.isDisposed) {
      this._admitQueued();
      const chunks = this._planPrefill();
      const decoding = [...this._streams.values()].filter(
        ({ isRunning, prefillLeft }) => isRunning && prefillLeft <= 0,
      );
      const stepMs = this._stepTimeMs(chunks, decoding.length);
      // Steps follow on the planned end of the previous one, so that late timers don't add up.
      stepEndsAt = Math.max(stepEndsAt + stepMs, this._clock.now() - stepMs);
      await this._clock.sleep(stepEndsAt - this._clock.now());
      this._applyPrefill(chunks);
      for (const stream of decoding) {
        this._emitToken(stream);
      }
    }
    this._isStepping = false;
  }

  /** Moves queued streams that fit the memory into the batch, in order of priority. */
  private _admitQueued(): void {
    const queued = [...this._streams.values()]
      .filter(({ isRunning }) => !isRunning)
      .sort((a, b) => a.request.priority - b.request.priority);
    for (const stream of queued) {
      if (this.usedTokens + stream.memoryTokens > this._profile.memoryTokens) {
        continue;
      }
      stream.isRunning = true;
      const cached = this._cache.matchLongest(stream.prefixes);
      this._cachedTokens += cached;
      this._promptTokens += stream.prefillLeft;
      // The last prompt token is always computed, as it yields the first output token.
      stream.prefillLeft = Math.max(1, stream.prefillLeft - cached);
      this._cache.evictToLimit(this._profile.memoryTokens - this.usedTokens);
    }
  }

  /** Divides the prefill tokens of the next step among streams in order of priority. */
  private _planPrefill(): ReadonlyMap<Stream, number> {
    const waiting = [...this._streams.values()]
      .filter(({ isRunning, prefillLeft }) => isRunning && prefillLeft > 0)
      .sort((a, b) => a.request.priority - b.request.priority);
    const chunks = new Map<Stream, number>();
    let budget = this._profile.chunkTokens;
    for (const stream of waiting) {
      const tokens = Math.min(budget, Math.ceil(stream.prefillLeft / this._gangSpeedup(stream)));
      if (tokens > 0) {
        chunks.set(stream, tokens);
        budget -= tokens;
      }
    }
    return chunks;
  }

  private _stepTimeMs(chunks: ReadonlyMap<Stream, number>, decoding: number): number {
    const { batchSlopeMs, decodeStepMs, prefillTokensPerSecond, timeScale } = this._profile;
    let tokens = 0;
    for (const chunk of chunks.values()) {
      tokens += chunk;
    }
    const prefillMs = (tokens / prefillTokensPerSecond) * MS_PER_SECOND;
    const decodeMs = decoding > 0 ? decodeStepMs + batchSlopeMs * (decoding - 1) : 0;
    // Decoding in the same step as a prefill chunk costs little extra (Agrawal et al. 2023).
    const [shorter, longer] = [Math.min(prefillMs, decodeMs), Math.max(prefillMs, decodeMs)];
    return (longer + shorter * MIXED_STEP_COST) / timeScale;
  }

  private _applyPrefill(chunks: ReadonlyMap<Stream, number>): void {
    for (const [stream, tokens] of chunks) {
      stream.prefillLeft -= tokens * this._gangSpeedup(stream);
      if (stream.prefillLeft <= 0 && this._streams.has(stream.request.id)) {
        this._cache.store(stream.prefixes, this._profile.memoryTokens - this.usedTokens);
        this._emitToken(stream);
      }
    }
  }

  private _gangSpeedup(stream: Stream): number {
    return stream.gangSize === 1 ? 1 : stream.gangSize * this._profile.gangEfficiency;
  }

  private _emitToken(stream: Stream): void {
    const { id, maxTokens, node } = stream.request;
    if (!this._streams.has(id)) {
      return;
    }
    const position = stream.position++;
    const isLast = stream.position >= maxTokens;
    this._recordAttempt(id, node, stream.position, isLast);
    if (isLast) {
      this._streams.delete(id);
    }
    stream.sink({
      id,
      position,
      tokens: [tokenAt(stream.promptDigest, position)],
      isLast,
      ...(isLast ? { digest: answerDigest(stream.promptDigest, maxTokens) } : {}),
    });
  }

  private _recordAttempt(
    id: string,
    node: string,
    tokensDelivered: number,
    hasEnded: boolean,
  ): void {
    const at = this._attempts.get(id)?.at ?? this._clock.wallTime();
    this._attempts.set(id, { id, node, at, tokensDelivered, hasEnded });
  }

  private _recordCacheEvent(kind: 'stored' | 'evicted', prefix: string): void {
    const sequence = this._cacheSequence++;
    const { cacheEventGap, cacheEventLagMs } = this._profile;
    if (cacheEventGap > 0 && sequence % cacheEventGap === cacheEventGap - 1) {
      return;
    }
    const event = {
      sequence,
      prefix,
      kind: kind === 'stored' ? CacheEventKind.Stored : CacheEventKind.Evicted,
    };
    this.register(
      this._clock.schedule(cacheEventLagMs, () => {
        this._cacheEvents.push(event);
        this._cacheEvents.splice(0, this._cacheEvents.length - MAX_CACHE_EVENTS);
      }),
    );
  }

  private _scheduleLoadReport(): void {
    const current = this._currentLoad();
    const timer = this.register(
      this._clock.schedule(this._profile.loadReportLagMs, () => {
        this.unregister(timer);
        this._reportedLoad = current;
        this._scheduleLoadReport();
      }),
    );
  }

  private _currentLoad(): LoadReport {
    const streams = [...this._streams.values()];
    return {
      incarnation: this._incarnation,
      running: streams.filter(({ isRunning }) => isRunning).length,
      queued: streams.filter(({ isRunning }) => !isRunning).length,
      queuedPrefillTokens: streams.reduce(
        (total, stream) => total + Math.max(0, stream.prefillLeft),
        0,
      ),
      memoryTokens: this._profile.memoryTokens,
      memoryUsedTokens: this.usedTokens,
      versions: [...this._versions],
      leaving: this.isLeaving,
    };
  }
}

/** The token that every engine generates at a position; callers compute it to check answers. */
export function tokenAt(promptDigest: string, position: number): string {
  return createHash('sha256')
    .update(`${promptDigest}:${position}`)
    .digest('hex')
    .slice(0, TOKEN_HEX_DIGITS);
}

/** The digest of the complete answer of `count` tokens to a prompt. */
export function answerDigest(promptDigest: string, count: number): string {
  const hash = createHash('sha256');
  for (let position = 0; position < count; position++) {
    hash.update(tokenAt(promptDigest, position));
  }
  return hash.digest('hex');
}

/**
 * The chained prefixes of a prompt. Doesn't reuse the implementation of the daemon, so that a fault
 * there can't hide from proof runs.
 */
export function prefixesOf(request: Pick<EngineRequest, 'prompt'>): readonly CachedPrefix[] {
  let chain = '';
  return request.prompt.map(({ digest, tokens }) => {
    chain = createHash('sha256').update(`${chain}/${digest}`).digest('hex');
    return { prefix: chain, tokens };
  });
}
