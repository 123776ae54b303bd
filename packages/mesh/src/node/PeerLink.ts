/**
 * Outgoing link to a peer. Responses are matched to requests by id, so a late or reordered response
 * can't resolve the wrong request. When the link breaks, all its pending requests fail. A link that
 * goes silent must not be used for further requests; those that wait for a response on it still get
 * it if it arrives, and the link closes after the last one.
 */
import { connect, type Socket } from 'node:net';
import {
  type Clock,
  type Disposable,
  DisposableOwner,
  Emitter,
  runInBackground,
  toDisposable,
} from '@tanagerdyke/kernel';
import { JSONRPCClient, type JSONRPCResponse } from 'json-rpc-2.0';
import { LinkProbe } from '../common/LinkProbe.js';
import { readLines } from './LineReader.js';
import type { SocketTraffic } from './SocketTraffic.js';
import type { TrafficCounter } from './SocketTransport.js';

/** Time after the time limit of the last request until an idle link is closed. */
const IDLE_TIMEOUT_MS = 30_000;
/** Any response to it shows that the link works; peers of earlier releases return an error. */
export const PROBE_METHOD = 'mesh.probe-link';

/** A request to a peer. */
export interface PeerCall {
  readonly method: string;
  readonly params: unknown;
  readonly timeoutMs: number;
}

/** A link that went silent. */
export interface LinkSilence {
  readonly address: string;
  /** Time since something was last received on the link. */
  readonly silenceMs: number;
  /** Number of requests that wait for a response on it. */
  readonly pending: number;
  /** Bytes of this link that wait in the process to be sent. */
  readonly queuedBytes: number;
}

/** JSON-RPC client for one peer address, over one TCP connection. */
export class PeerLink extends DisposableOwner {
  private readonly _socket: Socket;
  private readonly _client: JSONRPCClient;
  private readonly _probe: LinkProbe;
  private _idleTimer: Disposable | undefined;
  private _lastReceivedAt: number;
  /** Requests that have not timed out. */
  private _pending = 0;
  /** Requests without a response, including those that timed out. */
  private _unanswered = 0;
  private _isSilent = false;
  private readonly _onSilent = this.register(new Emitter<LinkSilence>());
  /** Fires once when the link goes silent. */
  public readonly onSilent = this._onSilent.event;

  constructor(
    private readonly _clock: Clock,
    private readonly _address: string,
    private readonly _counter: TrafficCounter,
    traffic: SocketTraffic,
    onClose: () => void,
  ) {
    super();
    const [host, port] = _address.split(':');
    this._socket = connect({ host, port: Number(port), noDelay: true });
    traffic.add(this._socket);
    this._lastReceivedAt = _clock.now();
    this._client = new JSONRPCClient((request) => {
      this._write(JSON.stringify(request));
    });
    this._probe = this.register(
      new LinkProbe({
        clock: _clock,
        countReceived: () => this._socket.bytesRead,
        isResponseDue: () => this._unanswered > 0,
        sendProbe: () => {
          this._sendProbe();
        },
        onSilent: () => {
          this._handleSilence();
        },
      }),
    );
    this.register(toDisposable(() => this._idleTimer?.dispose()));
    this.register(toDisposable(() => this._socket.destroy()));
    this.register(toDisposable(onClose));
    // The read loop handles the failure; without a listener it would terminate the process.
    this._socket.on('error', () => undefined);
    runInBackground('mesh.responses', () => this._readResponses());
  }

  /** Sends a request. Rejects if the peer returns an error, on timeout and when the link breaks. */
  public async call({ method, params, timeoutMs }: PeerCall): Promise<unknown> {
    this._postponeIdleClose(timeoutMs);
    this._pending++;
    this._unanswered++;
    try {
      return await new Promise((resolve, reject) => {
        const timer = this._clock.schedule(timeoutMs, () => {
          reject(this._timeoutError(timeoutMs));
        });
        runInBackground('mesh.call', () =>
          Promise.resolve(this._client.request(method, params))
            .then(resolve, reject)
            .finally(() => {
              this._unanswered--;
              timer.dispose();
            }),
        );
        this._probe.watch();
      });
    } finally {
      this._pending--;
      this._closeIfUnused();
    }
  }

  private _timeoutError(timeoutMs: number): Error {
    const silenceMs = Math.round(this._clock.now() - this._lastReceivedAt);
    return new Error(
      `timed out after ${timeoutMs} ms; nothing received on the link for ${silenceMs} ms`,
    );
  }

  private _write(line: string): void {
    if (this.isDisposed) {
      throw new Error(`connection to peer ${this._address} is closed`);
    }
    this._counter.count(Buffer.byteLength(line) + 1);
    this._socket.write(`${line}\n`);
  }

  private _sendProbe(): void {
    // Whether the link works is seen from the bytes received, whatever the response.
    this._client.request(PROBE_METHOD, {}).then(
      () => undefined,
      () => undefined,
    );
  }

  private _handleSilence(): void {
    this._isSilent = true;
    const silenceMs = Math.round(this._clock.now() - this._lastReceivedAt);
    this._onSilent.fire({
      address: this._address,
      silenceMs,
      pending: this._pending,
      queuedBytes: this._socket.writableLength,
    });
    this._closeIfUnused();
  }

  private _closeIfUnused(): void {
    if (this._isSilent && this._pending === 0) {
      this.dispose();
    }
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
