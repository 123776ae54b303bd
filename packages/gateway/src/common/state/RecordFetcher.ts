/**
 * Fetches the topic records that peers have and this node lacks. Long records come in pieces, and
 * one copy of a topic is received at a time: pieces that have arrived are kept when another source
 * continues, so a late source is never the reason to send the same bytes again. Any source may fail
 * to respond, and a change must be in force within seconds: without a piece within a few round trips
 * the next source is asked as well, first the other peers that are ahead, then the platform.
 */
import {
  type Clock,
  type Disposable,
  DisposableOwner,
  type Fields,
  type Metrics,
  type RandomSource,
  runInBackground,
  type ServiceError,
} from '@tanagerdyke/kernel';
import { Delivery, type Transport } from '@tanagerdyke/mesh';
import type { Result } from 'true-myth';
import type { DecisionLog } from '../DecisionLog.js';
import { CopyAssembly } from './CopyAssembly.js';
import { type KeyedTable, UNSTATED_EPOCH } from './KeyedTable.js';
import type { RecordSet } from './RecordsCodec.js';
import {
  decodeRecord,
  isBehind,
  type Piece,
  RECORDS_METHOD,
  type RecordsResponse,
  recordsResponseSchema,
  type TopicProgress,
} from './RelayMessages.js';

const RESPONSE_TIMEOUT_MS = 1_000;
/** Time without a piece until the next source is asked, too. */
const HEDGE_DELAY_MS = 300;
/** Longest delay until sources that serve other peers are asked again. */
const BUSY_RETRY_MS = 60;
/** Time for which sources may be busy until the platform is read. */
const BUSY_LIMIT_MS = 1_500;
/** Shortest time between two reads of a topic from the platform. */
const CATCH_UP_INTERVAL_MS = 1_000;
/**
 * Delay before a fetch: a record that is in transit from the platform usually arrives before a
 * fetch from a peer would complete.
 */
const FETCH_DELAY_MS = 60;

export interface RecordFetcherOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly transport: Transport;
  /** Reads the missing records of a topic from the platform; returns whether it answered. */
  readonly catchUp: (topic: string) => Promise<boolean>;
  /** Longest recent delay of a timer of this process, in ms. */
  readonly timerDelayMs: () => number;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
}

/** What followed from the response of a peer. */
enum Outcome {
  /** The peer has further pieces. */
  Continues = 'continues',
  Ended = 'ended',
  /** The peer serves others. */
  Busy = 'busy',
}

/** What is known about the records of a topic that this node lacks. */
interface TopicState {
  readonly table: KeyedTable;
  /** Progress of the peers that were ahead, the one received last at the end. */
  readonly sources: Map<string, TopicProgress>;
  /** Peers that have not responded yet. */
  readonly asked: Set<string>;
  /** Peers that served others when they were asked. */
  readonly busy: Set<string>;
  /** The copy that is being received. */
  assembly: CopyAssembly | undefined;
  /** The peer that sends its pieces. */
  sender: string | undefined;
  /** When a piece last arrived, or a peer was asked. */
  progressAt: number;
  isFetching: boolean;
  /** Since when this node has known that a peer is ahead; undefined if none is. */
  behindSince: number | undefined;
  /** When the topic was last read from the platform. */
  caughtUpAt: number;
}

/** Fetches records of all topics; one fetch at a time for each. */
export class RecordFetcher extends DisposableOwner {
  private readonly _topics = new Map<string, TopicState>();

  constructor(private readonly _options: RecordFetcherOptions) {
    super();
  }

  /** Records how far a peer is, and fetches the records that it has and the table lacks. */
  public recordProgress(peer: string, table: KeyedTable, progress: TopicProgress): void {
    if (!isBehind(table, progress)) {
      return;
    }
    const state = this._stateOf(table);
    state.sources.delete(peer);
    state.sources.set(peer, progress);
    state.behindSince ??= this._options.clock.now();
    if (!state.isFetching) {
      runInBackground('records.fetch', () => this._fetch(state));
    }
  }

  /** Whether a peer has reported records that the table lacks. */
  public isBehind(table: KeyedTable): boolean {
    const sources = this._topics.get(table.name)?.sources.values() ?? [];
    return [...sources].some((progress) => isBehind(table, progress));
  }

  private _stateOf(table: KeyedTable): TopicState {
    let state = this._topics.get(table.name);
    if (state === undefined) {
      state = {
        table,
        sources: new Map(),
        asked: new Set(),
        busy: new Set(),
        assembly: undefined,
        sender: undefined,
        progressAt: Number.NEGATIVE_INFINITY,
        isFetching: false,
        behindSince: undefined,
        caughtUpAt: Number.NEGATIVE_INFINITY,
      };
      this._topics.set(table.name, state);
    }
    return state;
  }

  /** Asks one source after the other until the table is not behind any more. */
  private async _fetch(state: TopicState): Promise<void> {
    const { clock } = this._options;
    const { disposalSignal: signal } = this;
    state.isFetching = true;
    try {
      if (state.table.hasSnapshot) {
        await clock.sleep(FETCH_DELAY_MS, signal);
      }
      const tried = new Set<string>();
      state.busy.clear();
      while (!signal.aborted) {
        const { end } = state.table;
        const attempt = this._startNext(state, tried);
        if (attempt === undefined) {
          break;
        }
        await this._awaitProgress(attempt, state);
        if (state.table.end > end) {
          // Further records may be at the same peers.
          tried.clear();
        }
      }
    } finally {
      state.isFetching = false;
    }
  }

  /** Waits for the end of an attempt, but not longer than pieces keep arriving. */
  private async _awaitProgress(attempt: Promise<void>, state: TopicState): Promise<void> {
    const { clock } = this._options;
    state.progressAt = clock.now();
    await new Promise<void>((resolve) => {
      let timer: Disposable | undefined;
      const check = (): void => {
        const leftMs = state.progressAt + HEDGE_DELAY_MS - clock.now();
        if (leftMs <= 0) {
          resolve();
        } else {
          timer = clock.schedule(leftMs, check);
        }
      };
      check();
      runInBackground('records.fetch', async () => {
        await attempt;
        timer?.dispose();
        resolve();
      });
    });
  }

  /** Asks the next source; returns undefined if none is left or the table is not behind. */
  private _startNext(state: TopicState, tried: Set<string>): Promise<void> | undefined {
    const { asked, busy, sources } = state;
    if (!this._isBehind(state)) {
      return undefined;
    }
    const candidates = [...sources.keys()].filter((peer) => !tried.has(peer) && !asked.has(peer));
    const peer = candidates.at(-1);
    if (peer !== undefined) {
      tried.add(peer);
      return this._fetchFrom(peer, state);
    }
    const isLate = this._behindMs(state) >= BUSY_LIMIT_MS && this._mayCatchUp(state);
    if (busy.size > 0 && !isLate) {
      for (const each of busy) {
        tried.delete(each);
      }
      busy.clear();
      const delayMs = BUSY_RETRY_MS * (0.5 + this._options.random.next() / 2);
      return this._options.clock.sleep(delayMs, this.disposalSignal);
    }
    return this._mayCatchUp(state) ? this._catchUp(state) : undefined;
  }

  /** Whether a peer has records that the table lacks; drops the other peers. */
  private _isBehind(state: TopicState): boolean {
    const { sources, table } = state;
    for (const [peer, progress] of sources) {
      if (!isBehind(table, progress)) {
        sources.delete(peer);
      }
    }
    if (sources.size === 0) {
      state.behindSince = undefined;
      state.assembly = undefined;
    }
    return sources.size > 0;
  }

  private async _fetchFrom(peer: string, state: TopicState): Promise<void> {
    const { clock } = this._options;
    state.asked.add(peer);
    state.sender = peer;
    const describeTransfer = this._startTransfer();
    let outcome = Outcome.Continues;
    try {
      while (outcome === Outcome.Continues && !this.isDisposed) {
        outcome = await this._requestRecords(peer, state, describeTransfer);
        state.progressAt = clock.now();
        if (state.sender !== peer || !this._isBehind(state)) {
          break;
        }
      }
    } finally {
      state.asked.delete(peer);
    }
    if (outcome === Outcome.Busy) {
      state.busy.add(peer);
    }
  }

  private async _requestRecords(
    peer: string,
    state: TopicState,
    describeTransfer: () => Fields,
    isPlatformLost = false,
  ): Promise<Outcome> {
    const { log, transport } = this._options;
    const { assembly, table } = state;
    const { epoch, name: topic } = table;
    const after = table.hasSnapshot ? table.end : 0;
    const response = await transport.request(
      peer,
      RECORDS_METHOD,
      {
        ...{ topic, after, epoch, isPlatformLost, from: transport.address },
        piece: { digest: assembly?.digest, start: assembly?.received ?? 0 },
      },
      RESPONSE_TIMEOUT_MS,
      Delivery.AtLeastOnce,
    );
    const parsed = response.isOk ? recordsResponseSchema.safeParse(response.value) : undefined;
    if (parsed?.success !== true) {
      const cause = response.isErr ? response.error.message : 'malformed response';
      this._count('peer', false);
      const behindMs = this._behindMs(state);
      log.write('records.unfetched', {
        topic,
        peer,
        after,
        cause,
        behindMs,
        ...describeTransfer(),
      });
      return Outcome.Ended;
    }
    const { busy, piece } = parsed.data;
    if (busy !== undefined) {
      this._addSources(state, busy);
      return Outcome.Busy;
    }
    if (piece !== undefined) {
      return this._addPiece(peer, state, piece, describeTransfer);
    }
    this._count('peer', true);
    return this._applyResponse(peer, state, parsed.data, describeTransfer, isPlatformLost);
  }

  /** Adds the peers that a busy one named. */
  private _addSources(
    { sources }: TopicState,
    { end, epoch, sources: peers }: NonNullable<RecordsResponse['busy']>,
  ): void {
    for (const peer of peers) {
      if (peer !== this._options.transport.address && !sources.has(peer)) {
        sources.set(peer, { end, epoch, earlierDigest: '' });
      }
    }
  }

  private _addPiece(
    peer: string,
    state: TopicState,
    piece: Piece,
    describeTransfer: () => Fields,
  ): Outcome {
    const { log } = this._options;
    const { table } = state;
    if (state.assembly?.digest !== piece.digest && state.sender === peer) {
      state.assembly = new CopyAssembly(piece.digest, piece.total);
    }
    const { assembly } = state;
    const isNext = assembly?.add(piece) === true;
    if (assembly?.isComplete !== true) {
      return isNext ? Outcome.Continues : Outcome.Ended;
    }
    state.assembly = undefined;
    const topic = table.name;
    const copy = assembly.decode();
    const fields = { behindMs: this._behindMs(state), bytes: assembly.received };
    this._count('peer', copy.isOk);
    if (copy.isErr) {
      const cause = copy.error.message;
      log.write('records.unfetched', { topic, peer, cause, ...fields, ...describeTransfer() });
      return Outcome.Ended;
    }
    const { end, epoch } = copy.value;
    applyRecords(table, copy.value);
    table.applyEarlier(copy.value.earlier);
    log.write('records.fetched', { topic, peer, epoch, end, ...fields, ...describeTransfer() });
    runInBackground('records.confirm', () => this._confirm(peer, table, piece));
    return Outcome.Ended;
  }

  /** Frees the place at the sender, which may name this node as a source from now on. */
  private _confirm(
    peer: string,
    { end: after, epoch, name: topic }: KeyedTable,
    { digest, total }: Piece,
  ): Promise<Result<unknown, ServiceError>> {
    const { transport } = this._options;
    return transport.request(
      peer,
      RECORDS_METHOD,
      { topic, after, epoch, from: transport.address, piece: { digest, start: total } },
      RESPONSE_TIMEOUT_MS,
    );
  }

  private async _applyResponse(
    peer: string,
    state: TopicState,
    response: RecordsResponse,
    describeTransfer: () => Fields,
    isPlatformLost: boolean,
  ): Promise<Outcome> {
    const { catchUp, log } = this._options;
    const { table } = state;
    const { epoch, end: after, name: topic } = table;
    const { end, isTooLong } = response;
    const transfer = describeTransfer();
    const records = decodeResponse(response);
    if (!isTooLong) {
      applyRecords(table, records);
    }
    const isEpochUnknown = response.epoch === undefined && epoch !== UNSTATED_EPOCH;
    if (isTooLong && !(await catchUp(topic)) && !isPlatformLost) {
      return this._requestRecords(peer, state, describeTransfer, true);
    }
    if (isEpochUnknown && this._mayCatchUp(state)) {
      await this._catchUp(state);
    }
    table.applyEarlier(records.earlier);
    log.write('records.fetched', {
      ...{ topic, peer, after, epoch, end, behindMs: this._behindMs(state) },
      ...{ bytes: textBytes(response), isTooLong },
      ...transfer,
    });
    return Outcome.Ended;
  }

  private async _catchUp(state: TopicState): Promise<void> {
    const { catchUp, clock, log } = this._options;
    const { name: topic, end: after } = state.table;
    state.caughtUpAt = clock.now();
    const isAnswered = await catchUp(topic);
    this._count('platform', isAnswered);
    const behindMs = this._behindMs(state);
    log.write('records.caught-up', { topic, after, end: state.table.end, isAnswered, behindMs });
  }

  /** Returns what the links of this node carried since this call, for the log. */
  private _startTransfer(): () => Fields {
    const { clock, timerDelayMs, transport } = this._options;
    const startedAt = clock.now();
    const receivedBefore = transport.traffic.receivedBytes;
    return () => ({
      tookMs: Math.round(clock.now() - startedAt),
      linkBytesReceived: transport.traffic.receivedBytes - receivedBefore,
      linkBytesQueued: transport.traffic.queuedBytes,
      timerDelayMs: timerDelayMs(),
    });
  }

  /** Limits the calls to the platform while peers remain ahead. */
  private _mayCatchUp({ caughtUpAt }: TopicState): boolean {
    return this._options.clock.now() - caughtUpAt >= CATCH_UP_INTERVAL_MS;
  }

  private _behindMs({ behindSince }: TopicState): number {
    const now = this._options.clock.now();
    return Math.round(now - (behindSince ?? now));
  }

  private _count(source: string, isAnswered: boolean): void {
    const outcome = isAnswered ? 'answered' : 'failed';
    this._options.metrics.increment('tanager_record_fetches_total', { source, outcome });
  }
}

/** Bytes of the values, as they were sent. */
function textBytes({ records }: RecordsResponse): number {
  return records.reduce((sum, [, , value]) => sum + (value?.length ?? 0), 0);
}

function decodeResponse({ earlier, end, epoch, isKnown, records }: RecordsResponse): RecordSet {
  return {
    epoch: epoch ?? UNSTATED_EPOCH,
    end,
    isKnown,
    records: records.map(([key, offset, value]) => decodeRecord(key, offset, value)),
    earlier: earlier.map(([key, recordEpoch, offset, value]) => ({
      ...decodeRecord(key, offset, value),
      epoch: recordEpoch,
    })),
  };
}

function applyRecords(table: KeyedTable, { end, epoch, isKnown, records }: RecordSet): void {
  if (table.hasSnapshot && epoch < table.epoch) {
    table.applyEarlier(records.map((record) => ({ ...record, epoch })));
  } else if (isKnown && (!table.hasSnapshot || epoch > table.epoch)) {
    const present = records.filter(({ value }) => value !== undefined);
    table.applySnapshot({ epoch, records: present, end });
    // A snapshot does not say which of the missing keys were removed since the restore.
    table.apply(records, end, epoch);
  } else {
    table.apply(records, end, epoch);
  }
}
