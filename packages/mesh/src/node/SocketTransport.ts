/**
 * Transport over sockets: JSON-RPC 2.0 as lines of JSON over persistent TCP links, which are opened
 * on first use, replaced when they go silent and closed when idle, and datagrams over UDP on the
 * same port number.
 */
import { createSocket, type Socket as DatagramSocket } from 'node:dgram';
import { createServer, type Server, type Socket } from 'node:net';
import {
  type Clock,
  type Disposable,
  callContained,
  DisposableOwner,
  Emitter,
  parseSocketAddress,
  runInBackground,
  toDisposable,
} from '@tanagerdyke/kernel';
import { JSONRPCServer } from 'json-rpc-2.0';
import { Result } from 'true-myth';
import type { ServiceError } from '@tanagerdyke/kernel';
import { fromRpcException, toRpcException } from '../common/RpcErrors.js';
import {
  type DatagramHandler,
  Delivery,
  type LinkTraffic,
  type RequestHandler,
  type Transport,
} from '../common/services/Services.js';
import { type LinkSilence, type PeerCall, PeerLink, PROBE_METHOD } from './PeerLink.js';
import { readLines } from './LineReader.js';
import { SocketTraffic } from './SocketTraffic.js';

/**
 * An incoming connection on which nothing arrives for this long is closed; its opener closes a link
 * that works sooner.
 */
const INCOMING_IDLE_TIMEOUT_MS = 180_000;

/** Counts the bytes that the transport sends, against a node's budget for control traffic. */
export interface TrafficCounter {
  count(bytes: number): void;
}

/** Owns the TCP server, the UDP socket and the outgoing links of a node. */
export class SocketTransport extends DisposableOwner implements Transport {
  private readonly _rpcServer = new JSONRPCServer();
  /** The link to each peer that takes new requests. */
  private readonly _links = new Map<string, PeerLink>();
  /** Links that went silent while requests wait for a response. */
  private readonly _silentLinks = new Set<PeerLink>();
  private readonly _datagramHandlers = new Set<DatagramHandler>();
  private readonly _socketTraffic = new SocketTraffic();
  private _address = '';
  private readonly _onLinkSilent = this.register(new Emitter<LinkSilence>());
  /** Fires when a link went silent and is replaced. */
  public readonly onLinkSilent = this._onLinkSilent.event;

  private constructor(
    private readonly _clock: Clock,
    private readonly _server: Server,
    private readonly _datagrams: DatagramSocket,
    private readonly _counter: TrafficCounter,
  ) {
    super();
    this.register(toDisposable(() => this._server.close()));
    this.register(toDisposable(() => this._datagrams.close()));
    this.register(
      toDisposable(() => {
        for (const link of [...this._links.values(), ...this._silentLinks]) {
          link.dispose();
        }
      }),
    );
  }

  /** Listens on `host:port`, TCP and UDP; port 0 selects a free one. Rejects when it is in use. */
  public static async listen(
    clock: Clock,
    host: string,
    port: number,
    counter: TrafficCounter,
  ): Promise<SocketTransport> {
    const server = createServer();
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
    const bound = server.address();
    const boundPort = typeof bound === 'object' && bound !== null ? bound.port : port;
    const datagrams = createSocket('udp4');
    await new Promise<void>((resolve, reject) => {
      datagrams.once('error', reject);
      datagrams.bind(boundPort, host, resolve);
    });
    const transport = new SocketTransport(clock, server, datagrams, counter);
    transport._start(`${host}:${boundPort}`);
    return transport;
  }

  public get address(): string {
    return this._address;
  }

  public get traffic(): LinkTraffic {
    return this._socketTraffic;
  }

  public async request(
    address: string,
    method: string,
    params: unknown,
    timeoutMs: number,
    delivery: Delivery = Delivery.AtMostOnce,
  ): Promise<Result<unknown, ServiceError>> {
    const call = { method, params, timeoutMs };
    try {
      const response =
        delivery === Delivery.AtMostOnce
          ? this._linkTo(address).call(call)
          : this._callRepeatable(address, call);
      return Result.ok(await response);
    } catch (error) {
      return Result.err(fromRpcException(error, address));
    }
  }

  public handle(method: string, handler: RequestHandler): Disposable {
    this._rpcServer.addMethod(method, async (params: unknown) => {
      const result = await handler(params);
      if (result.isErr) {
        throw toRpcException(result.error);
      }
      return result.value ?? null;
    });
    return toDisposable(() => {
      this._rpcServer.removeMethod(method);
    });
  }

  public sendDatagram(address: string, payload: string): void {
    const target = parseSocketAddress(address);
    // Addresses come from records and messages; a wrong one is equivalent to a lost datagram.
    if (this.isDisposed || target === undefined) {
      return;
    }
    this._counter.count(Buffer.byteLength(payload));
    this._datagrams.send(payload, target.port, target.host);
  }

  public onDatagram(handler: DatagramHandler): Disposable {
    this._datagramHandlers.add(handler);
    return toDisposable(() => this._datagramHandlers.delete(handler));
  }

  private _start(address: string): void {
    this._address = address;
    this._rpcServer.addMethod(PROBE_METHOD, () => null);
    this._server.on('connection', (socket) => {
      runInBackground('mesh.connection', () => this._serveConnection(socket));
    });
    // A send error is equivalent to a lost datagram, which the failure detector tolerates.
    this._datagrams.on('error', () => undefined);
    this._datagrams.on('message', (message) => {
      const payload = message.toString('utf8');
      for (const handler of this._datagramHandlers) {
        callContained('mesh.datagram', () => {
          handler(payload);
        });
      }
    });
  }

  /** Reads requests from an incoming connection until it closes. */
  private async _serveConnection(socket: Socket): Promise<void> {
    const registration = this.register(toDisposable(() => socket.destroy()));
    this._socketTraffic.add(socket);
    socket.setNoDelay(true);
    socket.setTimeout(INCOMING_IDLE_TIMEOUT_MS, () => socket.destroy());
    for await (const line of readLines(socket)) {
      runInBackground('mesh.request', () => this._respond(socket, line));
    }
    this.unregister(registration);
    socket.destroy();
  }

  private async _respond(socket: Socket, line: string): Promise<void> {
    const response = await this._rpcServer.receiveJSON(line);
    if (response === null || socket.destroyed) {
      return;
    }
    const responseLine = `${JSON.stringify(response)}\n`;
    this._counter.count(Buffer.byteLength(responseLine));
    socket.write(responseLine);
  }

  /** Sends a request, and once more if its link goes silent; the first response counts. */
  private _callRepeatable(address: string, call: PeerCall): Promise<unknown> {
    const deadlineAt = this._clock.now() + call.timeoutMs;
    const link = this._linkTo(address);
    return new Promise((resolve, reject) => {
      let isRepeated = false;
      const subscription = link.onSilent(() => {
        isRepeated = true;
        const timeoutMs = deadlineAt - this._clock.now();
        this._linkTo(address)
          .call({ ...call, timeoutMs })
          .then(resolve, reject);
      });
      runInBackground('mesh.call', () =>
        link
          .call(call)
          .then(resolve, (error: unknown) => {
            if (!isRepeated) {
              reject(error instanceof Error ? error : new Error(String(error)));
            }
          })
          .finally(() => {
            subscription.dispose();
          }),
      );
    });
  }

  private _linkTo(address: string): PeerLink {
    return this._links.get(address) ?? this._openLink(address);
  }

  private _openLink(address: string): PeerLink {
    const link = new PeerLink(this._clock, address, this._counter, this._socketTraffic, () => {
      this._silentLinks.delete(link);
      if (this._links.get(address) === link) {
        this._links.delete(address);
      }
    });
    link.onSilent((silence) => {
      this._links.delete(address);
      this._silentLinks.add(link);
      this._onLinkSilent.fire(silence);
    });
    this._links.set(address, link);
    return link;
  }
}
