/**
 * Outgoing link to a peer. Responses are matched to requests by id, so a late or reordered response
 * can't resolve the wrong request. When the link breaks, all its pending requests fail.
 */
import { connect, type Socket } from 'node:net';
import { type Clock, type Disposable, DisposableOwner, toDisposable } from '@tanagerdyke/kernel';
import { JSONRPCClient, type JSONRPCResponse } from 'json-rpc-2.0';
import { readLines } from './LineReader.js';
import type { TrafficCounter } from './SocketTransport.js';

/** Time after the time limit of the last request until an idle link is closed. */
const IDLE_TIMEOUT_MS = 30_000;

/** JSON-RPC client for one peer address, over one TCP connection. */
export class PeerLink extends DisposableOwner {
  private readonly _socket: Socket;
  private readonly _client: JSONRPCClient;
  private _idleTimer: Disposable | undefined;
  private _lastReceivedAt: number;

  constructor(
    private readonly _clock: Clock,
    private readonly _address: string,
    private readonly _traffic: TrafficCounter,
    onClose: () => void,
  ) {
    super();
    const [host, port] = _address.split(':');
    this._socket = connect({ host, port: Number(port), noDelay: true });
    this._lastReceivedAt = _clock.now();
    this._client = new JSONRPCClient((request) => {
      this._write(JSON.stringify(request));
    });
    this.register(toDisposable(() => this._socket.destroy()));
    this.register(toDisposable(onClose));
    // The read loop handles the failure; without a listener it would terminate the process.
    this._socket.on('error', () => undefined);
    void this._readResponses();
  }

  /** Sends a request. Rejects if the peer returns an error, on timeout and when the link breaks. */
  public async call(method: string, params: unknown, timeoutMs: number): Promise<unknown> {
    this._postponeIdleClose(timeoutMs);
    return new Promise((resolve, reject) => {
      const timer = this._clock.schedule(timeoutMs, () => {
        const silenceMs = Math.round(this._clock.now() - this._lastReceivedAt);
        reject(
          new Error(
            `timed out after ${timeoutMs} ms; nothing received on the link for ${silenceMs} ms`,
          ),
        );
      });
      this._client.request(method, params).then(
        (value) => {
          timer.dispose();
          resolve(value);
        },
        (error: unknown) => {
          timer.dispose();
          reject(error instanceof Error ? error : new Error(String(error)));
        },
      );
    });
  }

  private _write(line: string): void {
    if (this.isDisposed) {
      throw new Error(`connection to peer ${this._address} is closed`);
    }
    this._traffic.count(Buffer.byteLength(line) + 1);
    this._socket.write(`${line}\n`);
  }

  /** Reads responses until the connection closes. */
  private async _readResponses(): Promise<void> {
    for await (const line of readLines(this._socket)) {
      this._receive(line);
    }
    this._client.rejectAllPendingRequests(
      `connection to peer ${this._address} closed before the response`,
    );
    this.dispose();
  }

  private _receive(line: string): void {
    this._lastReceivedAt = this._clock.now();
    try {
      this._client.receive(JSON.parse(line) as JSONRPCResponse);
    } catch {
      this.dispose();
    }
  }

  private _postponeIdleClose(timeoutMs: number): void {
    this._idleTimer?.dispose();
    this._idleTimer = this._clock.schedule(IDLE_TIMEOUT_MS + timeoutMs, () => {
      this.dispose();
    });
  }
}
