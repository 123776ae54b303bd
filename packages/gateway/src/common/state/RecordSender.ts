/**
 * Sends the records of a topic to peers that lack them, in pieces that each occupy the link of a
 * small host only briefly, so that probes and datagrams are not stuck behind them. A few peers at
 * once receive pieces; the others are refused, and named peers that have received all, so that no
 * link carries more than a few copies however many peers there are.
 */
import type { Clock } from '@tanagerdyke/kernel';
import type { KeyedTable } from './KeyedTable.js';
import { digestOf, encodeRecordSet, type RecordSet } from './RecordsCodec.js';
import type { PieceRequest, PieceResponse } from './RelayMessages.js';

/** Occupies the link of a small host for some ms, less than a probe of the link may take. */
export const PIECE_BYTES = 16 * 1024;
/** Peers that receive pieces at the same time: few, as each that has a copy is a further source. */
const MIN_RECEIVERS = 2;
/** The same while nothing waits to be sent, so that the link has room for more. */
const MAX_RECEIVERS = 8;
/** A receiver that asked for no further piece for this long does not count any more. */
const RECEIVER_TIMEOUT_MS = 500;
/** Encoded copies that are kept for the peers that still receive them. */
const MAX_COPIES = 4;
/** Peers that are named to one that is refused. */
const MAX_NAMED_SOURCES = 4;

/** The encoded records of a table at one moment. */
interface Copy {
  readonly digest: string;
  readonly bytes: Buffer;
  readonly epoch: number;
  readonly end: number;
  /** Offset and epoch of each record, which identify the content. */
  readonly positions: string;
  /** Peers that have confirmed that they received it, the latest last. */
  readonly holders: string[];
}

/** Serves the pieces of one topic. */
export class RecordSender {
  /** The copy encoded last at the end. */
  private _copies: readonly Copy[] = [];
  /** When each peer that has not received all last asked for a piece. */
  private readonly _receivers = new Map<string, number>();

  constructor(
    private readonly _clock: Clock,
    private readonly _table: KeyedTable,
    /** Bytes that wait to be sent on the links of this node. */
    private readonly _queuedBytes: () => number,
  ) {}

  /**
   * Returns the requested piece of the records from offset `after` on, or the first one if the
   * digest in the request is not that of a copy which is kept, nor of the present records.
   */
  public respond(from: string, after: number, request: PieceRequest): PieceResponse {
    const now = this._clock.now();
    const continued = this._copies.find(({ digest }) => digest === request.digest);
    if (continued === undefined && !this._admits(from, now)) {
      return { busy: this._holders() };
    }
    const copy = continued ?? this._copyFrom(after);
    const isSame = copy.digest === request.digest;
    const start = isSame ? Math.min(request.start, copy.bytes.length) : 0;
    if (start === copy.bytes.length) {
      this._receivers.delete(from);
      copy.holders.push(from);
    } else {
      this._receivers.set(from, now);
    }
    const data = copy.bytes.subarray(start, start + PIECE_BYTES);
    return {
      piece: {
        digest: copy.digest,
        start,
        total: copy.bytes.length,
        data: data.toString('base64'),
      },
    };
  }

  private _admits(from: string, now: number): boolean {
    for (const [peer, askedAt] of this._receivers) {
      if (now - askedAt > RECEIVER_TIMEOUT_MS) {
        this._receivers.delete(peer);
      }
    }
    const limit = this._queuedBytes() === 0 ? MAX_RECEIVERS : MIN_RECEIVERS;
    return this._receivers.has(from) || this._receivers.size < limit;
  }

  /** Peers that received the copy encoded last, or before any did, the one before it. */
  private _holders(): NonNullable<PieceResponse['busy']> {
    const copy = this._copies.findLast(({ holders }) => holders.length > 0);
    const { end, epoch } = copy ?? this._table;
    return { sources: copy?.holders.slice(-MAX_NAMED_SOURCES) ?? [], epoch, end };
  }

  private _copyFrom(after: number): Copy {
    const { earlierRecords: earlier, end, epoch, hasSnapshot: isKnown } = this._table;
    const set: RecordSet = {
      epoch,
      end,
      isKnown,
      records: this._table.recordsFrom(after),
      earlier,
    };
    const positions = positionsOf(set);
    const present = this._copies.find((each) => each.positions === positions);
    if (present !== undefined) {
      return present;
    }
    const bytes = encodeRecordSet(set);
    const copy: Copy = { digest: digestOf(bytes), bytes, epoch, end, positions, holders: [] };
    this._copies = [...this._copies.slice(1 - MAX_COPIES), copy];
    return copy;
  }
}

function positionsOf({ earlier, end, epoch, isKnown, records }: RecordSet): string {
  const present = records.map(({ key, offset }) => `${key} ${offset}`);
  const before = earlier.map((each) => `${each.key} ${each.epoch} ${each.offset}`);
  return [epoch, end, isKnown, ...present, '', ...before].join('\n');
}
