/**
 * Transport over sockets: JSON-RPC 2.0 as lines of JSON over persistent TCP links, which are opened
 * on first use and closed when idle, and datagrams over UDP on the same port number.
 */
import { createSocket, type Socket as DatagramSocket } from 'node:dgram';
import { createServer, type Server, type Socket } from 'node:net';
import { type Clock, DisposableOwner, toDisposable, type Disposable } from '@tanagerdyke/kernel';
import { JSONRPCServer } from 'json-rpc-2.0';
import { Result } from 'true-myth';
import type { ServiceError } from '@tanagerdyke/kernel';
import { fromRpcException, toRpcException } from '../common/RpcErrors.js';
import type { DatagramHandler, RequestHandler, Transport } from '../common/services/Services.js';
import { PeerLink } from './PeerLink.js';
import { readLines } from './LineReader.js';

/** Counts the bytes that the transport sends, against a node's budget for control traffic. */
export interface TrafficCounter {
  count(bytes: number): void;
}

/** Owns the TCP server, the UDP socket and the outgoing links of a node. */
export class SocketTransport extends DisposableOwner implements Transport {
  private readonly _rpcServer = new JSONRPCServer();
  private readonly _links = new Map<string, PeerLink>();
  private readonly _datagramHandlers = new Set<DatagramHandler>();
  private _address = '';

  private constructor(
    private readonly _clock: Clock,
    private readonly _server: Server,
    private readonly _datagrams: DatagramSocket,
    private readonly _traffic: TrafficCounter,
  ) {
    super();
    this.register(toDisposable(() => this._server.close()));
    this.register(toDisposable(() => this._datagrams.close()));
    this.register(
      toDisposable(() => {
        for (const link of this._links.values()) {
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
    traffic: TrafficCounter,
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
    const transport = new SocketTransport(clock, server, datagrams, traffic);
    transport._start(`${host}:${boundPort}`);
    return transport;
  }

  public get address(): string {
    return this._address;
  }

  public async request(
    address: string,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, ServiceError>> {
    try {
      return Result.ok(await this._linkTo(address).call(method, params, timeoutMs));
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
    const [host, port] = address.split(':');
    if (this.isDisposed) {
      return;
    }
    this._traffic.count(Buffer.byteLength(payload));
    this._datagrams.send(payload, Number(port), host);
  }

  public onDatagram(handler: DatagramHandler): Disposable {
    this._datagramHandlers.add(handler);
    return toDisposable(() => this._datagramHandlers.delete(handler));
  }

  private _start(address: string): void {
    this._address = address;
    this._server.on('connection', (socket) => {
      void this._serveConnection(socket);
    });
    // A send error is equivalent to a lost datagram, which the failure detector tolerates.
    this._datagrams.on('error', () => undefined);
    this._datagrams.on('message', (message) => {
      const payload = message.toString('utf8');
      for (const handler of this._datagramHandlers) {
        handler(payload);
      }
    });
  }

  /** Reads requests from an incoming connection until it closes. */
  private async _serveConnection(socket: Socket): Promise<void> {
    const registration = this.register(toDisposable(() => socket.destroy()));
    socket.setNoDelay(true);
    for await (const line of readLines(socket)) {
      void this._respond(socket, line);
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
    this._traffic.count(Buffer.byteLength(responseLine));
    socket.write(responseLine);
  }

  private _linkTo(address: string): PeerLink {
    let link = this._links.get(address);
    if (link === undefined || link.isDisposed) {
      link = new PeerLink(this._clock, address, this._traffic, () => {
        this._links.delete(address);
      });
      this._links.set(address, link);
    }
    return link;
  }
}
