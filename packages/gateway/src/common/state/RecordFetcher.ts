/**
 * Fetches the topic records that peers have and this node lacks. Any source may fail to respond, and
 * a change must be in force within seconds: without a response within a few round trips the next
 * source is asked as well, first the other peers that are ahead, then the platform.
 */
import { type Clock, DisposableOwner, type Fields, type Metrics } from '@tanagerdyke/kernel';
import { Delivery, type Transport } from '@tanagerdyke/mesh';
import type { DecisionLog } from '../DecisionLog.js';
import { type KeyedTable, UNSTATED_EPOCH } from './KeyedTable.js';
import {
  decodeRecord,
  isBehind,
  RECORDS_METHOD,
  type RecordsResponse,
  recordsResponseSchema,
  type TopicProgress,
} from './RelayMessages.js';

const RESPONSE_TIMEOUT_MS = 1_000;
/** Time without a response until the next source is asked, too. */
const HEDGE_DELAY_MS = 300;
/** Shortest time between two reads of a topic from the platform. */
const CATCH_UP_INTERVAL_MS = 1_000;
/**
 * Delay before a fetch: a record that is in transit from the platform usually arrives before a
 * fetch from a peer would complete.
 */
const FETCH_DELAY_MS = 60;

export interface RecordFetcherOptions {
  readonly clock: Clock;
  readonly transport: Transport;
  /** Reads the missing records of a topic from the platform; returns whether it answered. */
  readonly catchUp: (topic: string) => Promise<boolean>;
  /** Longest recent delay of a timer of this process, in ms. */
  readonly timerDelayMs: () => number;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
}

/** What is known about the records of a topic that this node lacks. */
interface TopicState {
  readonly table: KeyedTable;
  /** Progress of the peers that were ahead, the one received last at the end. */
  readonly sources: Map<string, TopicProgress>;
  /** Peers that have not responded yet. */
  readonly asked: Set<string>;
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
      void this._fetch(state);
    }
  }

  private _stateOf(table: KeyedTable): TopicState {
    let state = this._topics.get(table.name);
    if (state === undefined) {
      state = {
        table,
        sources: new Map(),
        asked: new Set(),
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
    if (state.table.hasSnapshot) {
      await clock.sleep(FETCH_DELAY_MS, signal);
    }
    const tried = new Set<string>();
    while (!signal.aborted) {
      const attempt = this._startNext(state, tried);
      if (attempt === undefined) {
        break;
      }
      await Promise.race([attempt, clock.sleep(HEDGE_DELAY_MS, signal)]);
    }
    state.isFetching = false;
  }

  /** Asks the next source; returns undefined if none is left or the table is not behind. */
  private _startNext(state: TopicState, tried: Set<string>): Promise<void> | undefined {
    const { asked, sources, table } = state;
    for (const [peer, progress] of sources) {
      if (!isBehind(table, progress)) {
        sources.delete(peer);
      }
    }
    if (sources.size === 0) {
      state.behindSince = undefined;
      return undefined;
    }
    const candidates = [...sources.keys()].filter((peer) => !tried.has(peer) && !asked.has(peer));
    const peer = candidates.at(-1);
    if (peer !== undefined) {
      tried.add(peer);
      return this._fetchFrom(peer, state);
    }
    return this._mayCatchUp(state) ? this._catchUp(state) : undefined;
  }

  private async _fetchFrom(peer: string, state: TopicState): Promise<void> {
    state.asked.add(peer);
    await this._requestRecords(peer, state, false);
    state.asked.delete(peer);
  }

  private async _requestRecords(
    peer: string,
    state: TopicState,
    isPlatformLost: boolean,
  ): Promise<void> {
    const { catchUp, log, transport } = this._options;
    const { table } = state;
    const { epoch, name: topic } = table;
    const after = table.hasSnapshot ? table.end : 0;
    const describeTransfer = this._startTransfer();
    const response = await transport.request(
      peer,
      RECORDS_METHOD,
      { topic, after, epoch, isPlatformLost },
      RESPONSE_TIMEOUT_MS,
      Delivery.AtLeastOnce,
    );
    const parsed = response.isOk ? recordsResponseSchema.safeParse(response.value) : undefined;
    this._count('peer', parsed?.success === true);
    if (parsed?.success !== true) {
      const cause = response.isErr ? response.error.message : 'malformed response';
      const behindMs = this._behindMs(state);
      log.write('records.unfetched', {
        topic,
        peer,
        after,
        cause,
        behindMs,
        ...describeTransfer(),
      });
      return;
    }
    const transfer = describeTransfer();
    if (!parsed.data.isTooLong) {
      applyRecords(table, parsed.data);
    }
    const isEpochUnknown = parsed.data.epoch === undefined && epoch !== UNSTATED_EPOCH;
    if (parsed.data.isTooLong && !(await catchUp(topic)) && !isPlatformLost) {
      await this._requestRecords(peer, state, true);
      return;
    }
    if (isEpochUnknown && this._mayCatchUp(state)) {
      await this._catchUp(state);
    }
    table.applyEarlier(
      parsed.data.earlier.map(([key, recordEpoch, offset, value]) => ({
        ...decodeRecord(key, offset, value),
        epoch: recordEpoch,
      })),
    );
    const behindMs = this._behindMs(state);
    log.write('records.fetched', {
      ...{ topic, peer, after, epoch, end: parsed.data.end, behindMs },
      ...{ bytes: encodedBytes(parsed.data), isTooLong: parsed.data.isTooLong },
      ...transfer,
    });
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
function encodedBytes({ records }: RecordsResponse): number {
  return records.reduce((sum, [, , value]) => sum + (value?.length ?? 0), 0);
}

function applyRecords(
  table: KeyedTable,
  { end, epoch, isKnown, records: encoded }: RecordsResponse,
): void {
  const records = encoded.map(([key, offset, value]) => decodeRecord(key, offset, value));
  const recordEpoch = epoch ?? UNSTATED_EPOCH;
  if (table.hasSnapshot && recordEpoch < table.epoch) {
    table.applyEarlier(records.map((record) => ({ ...record, epoch: recordEpoch })));
  } else if (isKnown && (!table.hasSnapshot || recordEpoch > table.epoch)) {
    const present = records.filter(({ value }) => value !== undefined);
    table.applySnapshot({ epoch: recordEpoch, records: present, end });
  } else {
    table.apply(records, end, recordEpoch);
  }
}
