/**
 * Splits an event stream (WHATWG HTML, server-sent events) at the ends of events, so that only
 * complete events are forwarded and a broken stream can be resumed after the last one. Bytes are
 * forwarded unchanged. Events that the receiver already has are dropped.
 */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = 'id:';

/** The splitter of one stream, kept when the stream is resumed from another source. */
export class EventStreamSplitter {
  private _partialEvent: Buffer = Buffer.alloc(0);
  private _lastEventId: string | undefined;

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

  /** Consumes a chunk and returns the events that it completes. */
  public push(chunk: Buffer): Buffer {
    const bytes =
      this._partialEvent.length === 0 ? chunk : Buffer.concat([this._partialEvent, chunk]);
    const forwarded: Buffer[] = [];
    let start = 0;
    for (
      let end = nextEventEnd(bytes, start);
      end !== undefined;
      end = nextEventEnd(bytes, start)
    ) {
      const event = bytes.subarray(start, end);
      if (this._recordIfNew(event)) {
        forwarded.push(event);
      }
      start = end;
    }
    this._partialEvent = bytes.subarray(start);
    return forwarded.length === 1 ? (forwarded[0] ?? Buffer.alloc(0)) : Buffer.concat(forwarded);
  }

  /** Discards an incomplete event before the stream continues from another source. */
  public discardPartialEvent(): void {
    this._partialEvent = Buffer.alloc(0);
  }

  /** Records the id of an event; returns `false` when the receiver already has the event. */
  private _recordIfNew(event: Buffer): boolean {
    const id = findEventId(event);
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

function findEventId(event: Buffer): string | undefined {
  const line = event
    .toString('latin1')
    .split(/\r?\n/)
    .find((each) => each.startsWith(ID_FIELD));
  return line?.slice(ID_FIELD.length).trim();
}

/** Whether both ids are decimal numbers and the first is not greater. */
function isAtMost(id: string, last: string | undefined): boolean {
  if (last === undefined || !/^\d+$/.test(id) || !/^\d+$/.test(last)) {
    return false;
  }
  return Number(id) <= Number(last);
}
