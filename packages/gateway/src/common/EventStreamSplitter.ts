/**
 * Splits an event stream (WHATWG HTML, server-sent events) at the ends of events, so that only whole
 * events are passed on and a broken stream can be resumed after the last one. Bytes are passed
 * unchanged. Events that the receiver has already are dropped.
 */

const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const ID_FIELD = 'id:';

/** The splitter of one stream, over all its runs. */
export class EventStreamSplitter {
  private _held: Buffer = Buffer.alloc(0);
  private _lastEventId: string | undefined;

  constructor(lastEventId: string | undefined) {
    this._lastEventId = lastEventId;
  }

  /** Id of the last event that was passed on, or that the receiver named. */
  public get lastEventId(): string | undefined {
    return this._lastEventId;
  }

  /** Bytes of an event that is not whole yet. */
  public get heldBytes(): number {
    return this._held.length;
  }

  /** Takes a chunk and returns the whole events that it completes. */
  public push(chunk: Buffer): Buffer {
    const bytes = this._held.length === 0 ? chunk : Buffer.concat([this._held, chunk]);
    const passed: Buffer[] = [];
    let start = 0;
    for (
      let end = nextEventEnd(bytes, start);
      end !== undefined;
      end = nextEventEnd(bytes, start)
    ) {
      const event = bytes.subarray(start, end);
      if (this._isNew(event)) {
        passed.push(event);
      }
      start = end;
    }
    this._held = bytes.subarray(start);
    return passed.length === 1 ? (passed[0] ?? Buffer.alloc(0)) : Buffer.concat(passed);
  }

  /** Drops a half event, before the stream goes on from another source. */
  public restart(): void {
    this._held = Buffer.alloc(0);
  }

  /** Notes the id of an event; `false` when the receiver has the event. */
  private _isNew(event: Buffer): boolean {
    const id = idOf(event);
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

/** Index after the blank line that ends the event from `start` on. */
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

function idOf(event: Buffer): string | undefined {
  const line = event
    .toString('latin1')
    .split(/\r?\n/)
    .find((each) => each.startsWith(ID_FIELD));
  return line?.slice(ID_FIELD.length).trim();
}

/** Whether both are numbers and the first is not greater. */
function isAtMost(id: string, last: string | undefined): boolean {
  if (last === undefined || !/^\d+$/.test(id) || !/^\d+$/.test(last)) {
    return false;
  }
  return Number(id) <= Number(last);
}
