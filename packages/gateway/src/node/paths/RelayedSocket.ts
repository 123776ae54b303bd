/**
 * A connection to a target through another node, with the interface of a socket. It ends in order
 * only if the target closed its connection so; every other end is an error. The other node may retire
 * it: no request must be sent on it from then on.
 */
import type { Socket } from 'node:net';
import { Duplex } from 'node:stream';
import { FrameDecoder, TargetEnd } from './RelayFrames.js';

/** The connection between the two nodes failed; nothing is known of the target. */
export class RelayLinkError extends Error {}

/** Wraps the connection to the relaying node after the target was connected. */
export class RelayedSocket extends Duplex {
  private readonly _decoder = new FrameDecoder();
  private _isEnded = false;
  private _isRetired = false;
  /** Called once when the connection is retired. */
  public onRetired: () => void = () => undefined;

  constructor(
    private readonly _socket: Socket,
    /** Name of the relaying node. */
    public readonly relay: string,
  ) {
    super({ allowHalfOpen: false });
    _socket.on('data', (received: Buffer) => {
      this._receive(received);
    });
    _socket.on('error', (cause) => {
      this.destroy(new RelayLinkError(`the link to ${relay} failed: ${cause.message}`));
    });
    _socket.on('close', () => {
      if (!this._isEnded) {
        this.destroy(new RelayLinkError(`${relay} closed the connection to the target`));
      }
    });
  }

  /** Whether no further request may be sent on the connection. */
  public get isRetired(): boolean {
    return this._isRetired;
  }

  public ref(): void {
    this._socket.ref();
  }

  public unref(): void {
    this._socket.unref();
  }

  public override _read(): void {
    this._socket.resume();
  }

  public override _write(
    chunk: Buffer | string,
    encoding: BufferEncoding,
    callback: (error?: Error | null) => void,
  ): void {
    this._socket.write(chunk, encoding, callback);
  }

  public override _final(callback: (error?: Error | null) => void): void {
    this._socket.end(callback);
  }

  public override _destroy(error: Error | null, callback: (error?: Error | null) => void): void {
    // Destroyed, not ended, so that the relaying node closes its connection to the target at once.
    this._socket.destroy();
    callback(error);
  }

  private _receive(received: Buffer): void {
    const { chunks, end, isMalformed, isRetired } = this._decoder.push(received);
    if (isRetired && !this._isRetired) {
      this._isRetired = true;
      this.onRetired();
    }
    // One piece, whatever the size of the frames: each piece that is queued costs memory.
    const [first] = chunks;
    const bytes = chunks.length === 1 ? first : Buffer.concat(chunks);
    const mayContinue = bytes === undefined || bytes.length === 0 || this.push(bytes);
    if (isMalformed) {
      this.destroy(new RelayLinkError(`${this.relay} sent a malformed frame`));
    } else if (end === TargetEnd.Closed) {
      this._isEnded = true;
      this.push(null);
    } else if (end === TargetEnd.Reset) {
      this.destroy(new Error('the target reset the connection'));
    } else if (!mayContinue) {
      this._socket.pause();
    }
  }
}
