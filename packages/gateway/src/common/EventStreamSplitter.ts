/**
 * Splits an event stream (WHATWG HTML, server-sent events) at the ends of events, so that only
 * complete events are forwarded and a broken stream can be resumed after the last one. Bytes are
 * forwarded unchanged. Events that the receiver already has are dropped. Text that is no event, such
 * as an error that a target writes into its stream, ends the splitting.
 */

import { ByteCollector } from '@tanagerdyke/kernel';

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = 'id:';
const EMPTY = Buffer.alloc(0);
const BYTE_ORDER_MARK = /^\xef\xbb\xbf/;
/** The field without which receivers dispatch no event. */
const DATA_FIELD = 'data';
/** The fields of an event; a comment has an empty name. */
const EVENT_FIELDS: ReadonlySet<string> = new Set(['', 'data', 'event', 'id', 'retry']);
/** A line with another field. */
const EXTENSION = /^[\w-]+:/;

/** The splitter of one stream, kept when the stream is resumed from another source. */
export class EventStreamSplitter {
  private readonly _partialEvent = new ByteCollector();
  /** The end of the partial event if a blank line may follow it. */
  private _lineEnd: Buffer = EMPTY;
  private _lastEventId: string | undefined;
  private _eventCount = 0;
  private _newEventCount = 0;
  private _isMalformed = false;

  constructor(lastEventId: string | undefined) {
    this._lastEventId = lastEventId;
  }

  /** Id of the last event that was forwarded, or else the one that the receiver stated. */
  public get lastEventId(): string | undefined {
    return this._lastEventId;
  }

  /** Buffered bytes of an incomplete event. */
  public get bufferedBytes(): number {
    return this._partialEvent.length;
  }

  /**
   * Number of events that were received, from all sources, including those that were dropped. A
   * comment is no event.
   */
  public get eventCount(): number {
    return this._eventCount;
  }

  /** Number of events that were not dropped. */
  public get newEventCount(): number {
    return this._newEventCount;
  }

  /** Whether the source sent text that is no event. It is not forwarded, nor is what follows it. */
  public get isMalformed(): boolean {
    return this._isMalformed;
  }

  /** Consumes a chunk and returns the events and comments that it completes. */
  public push(chunk: Buffer): Buffer {
    if (this._partialEvent.length > 0 && !this._endsPartialEvent(chunk)) {
      this._keep(chunk);
      return EMPTY;
    }
    const bytes = this._takePartialEvent(chunk);
    const forwarded: Buffer[] = [];
    let start = 0;
    for (
      let end = nextEventEnd(bytes, start);
      end !== undefined;
      end = nextEventEnd(bytes, start)
    ) {
      const event = bytes.subarray(start, end);
      const lines = linesOf(event);
      this._isMalformed ||= !isEvent(lines);
      if (this._isMalformed) {
        break;
      }
      const count = lines.some(isData) ? 1 : 0;
      this._eventCount += count;
      if (this._recordIfNew(lines)) {
        this._newEventCount += count;
        forwarded.push(event);
      }
      start = end;
    }
    if (start < bytes.length) {
      this._keep(bytes.subarray(start));
    }
    return forwarded.length === 1 ? (forwarded[0] ?? EMPTY) : Buffer.concat(forwarded);
  }

  /** Discards what is no complete event before the stream continues from another source. */
  public discardPartialEvent(): void {
    this._clearPartialEvent();
    this._isMalformed = false;
  }

  /** Whether the partial event ends within the chunk; its bytes are not searched again. */
  private _endsPartialEvent(chunk: Buffer): boolean {
    const isAtLineEnd = this._lineEnd.length > 0;
    const begin = isAtLineEnd ? Buffer.concat([this._lineEnd, chunk.subarray(0, 2)]) : EMPTY;
    return nextEventEnd(begin, 0) !== undefined || nextEventEnd(chunk, 0) !== undefined;
  }

  /** Returns the partial event, which is none from then on, and the bytes that follow it. */
  private _takePartialEvent(chunk: Buffer): Buffer {
    if (this._partialEvent.length === 0) {
      return chunk;
    }
    const bytes = Buffer.concat([this._partialEvent.toBuffer(), chunk]);
    this._clearPartialEvent();
    return bytes;
  }

  private _clearPartialEvent(): void {
    this._partialEvent.clear();
    this._lineEnd = EMPTY;
  }

  private _keep(bytes: Buffer): void {
    this._partialEvent.add(bytes);
    this._lineEnd = lineEndOf(bytes.length > 1 ? bytes : Buffer.concat([this._lineEnd, bytes]));
  }

  /** Records the id of an event; returns `false` when the receiver already has the event. */
  private _recordIfNew(lines: readonly string[]): boolean {
    const id = findEventId(lines);
    if (id === undefined) {
      return true;
    }
    if (isAtMost(id, this._lastEventId)) {
      return false;
    }
    this._lastEventId = id;
    return true;
  }
}

/**
 * Index after the blank line that ends the event that starts at `start`; `undefined` when the event
 * is incomplete.
 */
function nextEventEnd(bytes: Buffer, start: number): number | undefined {
  for (let at = bytes.indexOf(LINE_FEED, start); at !== -1; at = bytes.indexOf(LINE_FEED, at + 1)) {
    const next = bytes[at + 1];
    if (next === LINE_FEED) {
      return at + 2;
    }
    if (next === CARRIAGE_RETURN && bytes[at + 2] === LINE_FEED) {
      return at + 3;
    }
  }
  return undefined;
}

/** The last bytes, if the blank line that ends an event may begin with them. */
function lineEndOf(bytes: Buffer): Buffer {
  const isOpen = bytes.at(-1) === CARRIAGE_RETURN && bytes.at(-2) === LINE_FEED;
  const length = bytes.at(-1) === LINE_FEED ? 1 : isOpen ? 2 : 0;
  return length === 0 ? EMPTY : Buffer.from(bytes.subarray(-length));
}

/** The lines of an event that are not blank. */
function linesOf(event: Buffer): readonly string[] {
  const text = event.toString('latin1').replace(BYTE_ORDER_MARK, '');
  return text.split(/\r?\n/).filter((line) => line !== '');
}

/**
 * Whether the lines are those of an event. Receivers ignore fields of other names, but these count
 * only before the first known one: behind it, they are the head of an answer that was written into
 * the event.
 */
function isEvent(lines: readonly string[]): boolean {
  const isKnown = (line: string): boolean => EVENT_FIELDS.has(line.split(':', 1)[0] ?? '');
  const first = lines.findIndex(isKnown);
  const isExtended = lines.slice(0, first).every((line) => EXTENSION.test(line));
  return lines.length === 0 || (first !== -1 && isExtended && lines.slice(first).every(isKnown));
}

function isData(line: string): boolean {
  return line.split(':', 1)[0] === DATA_FIELD;
}

function findEventId(lines: readonly string[]): string | undefined {
  return lines
    .find((line) => line.startsWith(ID_FIELD))
    ?.slice(ID_FIELD.length)
    .trim();
}

/** Whether both ids are decimal numbers and the first is not greater. */
function isAtMost(id: string, last: string | undefined): boolean {
  if (last === undefined || !/^\d+$/.test(id) || !/^\d+$/.test(last)) {
    return false;
  }
  return Number(id) <= Number(last);
}
