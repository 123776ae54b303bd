/**
 * The protocol between a node and the one that relays its connection to a target. The node sends a
 * line with the address of the target and receives a line with the result, then sends bytes
 * unchanged. What the target sends arrives in frames, each a length of four bytes and the bytes. Two
 * frames without bytes end the connection: one says that the target closed it in order, the other
 * that the target reset it. Without them, an answer that ends with its connection would look
 * complete when the relaying node fails, and such a failure like one of the target. A third one
 * retires the connection: the request in flight goes on, and no further one may be sent on it. It is
 * sent only to nodes that accept it, which earlier releases do not.
 */
import { isIpv4SocketAddress } from '@tanagerdyke/kernel';

const LENGTH_BYTES = 4;
/** By whether the node accepts that the connection is retired. */
const REQUEST_PREFIXES = [
  { acceptsRetirement: true, prefix: 'RELAY/2 ' },
  { acceptsRetirement: false, prefix: 'RELAY ' },
] as const;
/** The result line of a connection that was opened. */
export const RELAY_OPENED = 'OPENED';
/** A longer line is malformed. */
export const MAX_LINE_BYTES = 200;
/** A longer frame is malformed; a read from a socket returns at most 64 KiB. */
const MAX_FRAME_BYTES = 1024 * 1024;
const RESET_MARK = 0xffff_ffff;
const RETIREMENT_MARK = 0xffff_fffe;

/** How the target ended the connection. */
export enum TargetEnd {
  Closed = 'closed',
  Reset = 'reset',
}

const END_MARKS: Record<TargetEnd, number> = {
  [TargetEnd.Closed]: 0,
  [TargetEnd.Reset]: RESET_MARK,
};

const END_OF_MARK = new Map(Object.values(TargetEnd).map((end) => [END_MARKS[end], end]));

/** A request for a connection to a target. */
export interface RelayRequest {
  /** `IP:port`. */
  readonly address: string;
  /** Whether the node accepts the frame that retires the connection. */
  readonly acceptsRetirement: boolean;
}

/** The line of a request. */
export function encodeRelayRequest({ acceptsRetirement, address }: RelayRequest): string {
  const found = REQUEST_PREFIXES.find((each) => each.acceptsRetirement === acceptsRetirement);
  return `${found?.prefix ?? ''}${address}\n`;
}

/** Parses a request line without its end; `undefined` if it is malformed. */
export function parseRelayRequest(line: string): RelayRequest | undefined {
  const found = REQUEST_PREFIXES.find(({ prefix }) => line.startsWith(prefix));
  const address = line.slice(found?.prefix.length);
  return found !== undefined && isIpv4SocketAddress(address)
    ? { address, acceptsRetirement: found.acceptsRetirement }
    : undefined;
}

/** Returns a frame with some bytes. */
export function encodeFrame(bytes: Buffer): Buffer {
  return Buffer.concat([encodeMark(bytes.length), bytes]);
}

/** Returns the frame that retires a connection. */
export function encodeRetirement(): Buffer {
  return encodeMark(RETIREMENT_MARK);
}

/** Returns the frame that ends a connection. */
export function encodeEnd(end: TargetEnd): Buffer {
  return encodeMark(END_MARKS[end]);
}

function encodeMark(mark: number): Buffer {
  const bytes = Buffer.alloc(LENGTH_BYTES);
  bytes.writeUInt32BE(mark);
  return bytes;
}

/** What a decoder found in the bytes that it received. */
export interface DecodedFrames {
  readonly chunks: readonly Buffer[];
  /** How the target ended the connection; `undefined` while it is open. */
  readonly end: TargetEnd | undefined;
  /** Whether the connection was retired, now or before. */
  readonly isRetired: boolean;
  /** Whether the bytes are no frames. */
  readonly isMalformed: boolean;
}

/** Decodes frames from the chunks of a connection, and passes on the bytes of incomplete ones. */
export class FrameDecoder {
  private _head = Buffer.alloc(0);
  /** Bytes that the current frame still lacks. */
  private _missing = 0;
  private _end: TargetEnd | undefined;
  private _isRetired = false;

  public push(received: Buffer): DecodedFrames {
    const chunks: Buffer[] = [];
    let rest = received;
    while (rest.length > 0 && this._end === undefined) {
      if (this._missing > 0) {
        const chunk = rest.subarray(0, this._missing);
        chunks.push(chunk);
        this._missing -= chunk.length;
        rest = rest.subarray(chunk.length);
        continue;
      }
      const lacking = LENGTH_BYTES - this._head.length;
      this._head = Buffer.concat([this._head, rest.subarray(0, lacking)]);
      rest = rest.subarray(lacking);
      if (this._head.length < LENGTH_BYTES) {
        break;
      }
      const mark = this._head.readUInt32BE();
      this._head = Buffer.alloc(0);
      if (mark === RETIREMENT_MARK) {
        this._isRetired = true;
        continue;
      }
      this._end = END_OF_MARK.get(mark);
      if (this._end === undefined && mark > MAX_FRAME_BYTES) {
        return { chunks, end: undefined, isRetired: this._isRetired, isMalformed: true };
      }
      this._missing = this._end === undefined ? mark : 0;
    }
    return { chunks, end: this._end, isRetired: this._isRetired, isMalformed: false };
  }
}
