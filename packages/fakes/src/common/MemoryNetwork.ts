/**
 * In-memory network between the nodes of one process: requests and datagrams with delay, loss,
 * one-way partitions and the bandwidth of each node's link, and a count of the bytes that each node
 * sends.
 */
import {
  type Clock,
  type Disposable,
  ErrorKind,
  type RandomSource,
  ServiceError,
  toDisposable,
} from '@tanagerdyke/kernel';
import type { DatagramHandler, LinkTraffic, RequestHandler, Transport } from '@tanagerdyke/mesh';
import { Result } from 'true-myth';
import { MemoryLink } from './MemoryLink.js';

/** The most that a datagram over UDP and IPv4 holds. */
const MAX_DATAGRAM_BYTES = 65_507;

/** Connects the transports that join it, with the faults that the test sets. */
export class MemoryNetwork {
  /** One-way delay. */
  public delayMs = 1;
  /** Fraction of datagrams that are lost. */
  public loss = 0;
  private readonly _nodes = new Map<string, MemoryTransport>();
  private readonly _cuts = new Set<string>();

  constructor(
    public readonly clock: Clock,
    public readonly random: RandomSource,
  ) {}

  /** Adds a node at `IP:port`, with a link of unlimited bandwidth unless one is given. */
  public join(address: string, link = new MemoryLink(this.clock)): MemoryTransport {
    const transport = new MemoryTransport(this, address, link);
    this._nodes.set(address, transport);
    return transport;
  }

  public leave(address: string): void {
    this._nodes.delete(address);
  }

  public find(address: string): MemoryTransport | undefined {
    return this._nodes.get(address);
  }

  /** Drops everything that `from` sends to `to`, in this direction only. */
  public cut(from: string, to: string): void {
    this._cuts.add(`${from}>${to}`);
  }

  /** Removes all cuts. */
  public heal(): void {
    this._cuts.clear();
  }

  public isCut(from: string, to: string): boolean {
    return this._cuts.has(`${from}>${to}`);
  }
}

/** Sends and receives for the node at `address`. */
export class MemoryTransport implements Transport {
  /**
   * A frozen node handles nothing and sends no datagrams. Requests and datagrams that reach it are
   * lost.
   */
  public isFrozen = false;
  public bytesSent = 0;
  public requestsSent = 0;
  private readonly _handlers = new Map<string, RequestHandler>();
  private readonly _datagramHandlers = new Set<DatagramHandler>();

  constructor(
    private readonly _network: MemoryNetwork,
    public readonly address: string,
    private readonly _link: MemoryLink,
  ) {}

  public get traffic(): LinkTraffic {
    return this._link;
  }

  public async request(
    address: string,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<Result<unknown, ServiceError>> {
    this.requestsSent++;
    const bytes = JSON.stringify({ method, params }).length;
    this.bytesSent += bytes;
    const exchange = this._exchange(address, method, copy(params), bytes);
    return (await this._withTimeout(exchange, timeoutMs)) ?? Result.err(noResponse(address));
  }

  /** Never resolves without a response. */
  private async _exchange(
    address: string,
    method: string,
    params: unknown,
    bytes: number,
  ): Promise<Result<unknown, ServiceError>> {
    const { delayMs } = this._network;
    const link = this._network.find(address)?._link;
    await (link === undefined ? undefined : this._link.send(link, bytes, delayMs));
    const peer = this._network.find(address);
    const handler = peer?._handlers.get(method);
    const isReachable = !this._network.isCut(this.address, address) && peer?.isFrozen === false;
    if (!isReachable || handler === undefined) {
      return never();
    }
    const response = await handler(params);
    if (this._network.isCut(address, this.address)) {
      return never();
    }
    const body = JSON.stringify(response.isOk ? (response.value ?? null) : response.error);
    peer.bytesSent += body.length;
    // Also to a requester that has given up.
    await peer._link.send(this._link, body.length, delayMs);
    return response.map(() => JSON.parse(body) as unknown);
  }

  public handle(method: string, handler: RequestHandler): Disposable {
    this._handlers.set(method, handler);
    return toDisposable(() => this._handlers.delete(method));
  }

  public sendDatagram(address: string, payload: string): void {
    const { delayMs, loss, random } = this._network;
    this.bytesSent += payload.length;
    const isLost = this._network.isCut(this.address, address) || random.next() < loss;
    const isTooLong = Buffer.byteLength(payload) > MAX_DATAGRAM_BYTES;
    if (isLost || isTooLong || this.isFrozen) {
      return;
    }
    const peer = this._network.find(address);
    if (peer === undefined) {
      return;
    }
    void this._link.send(peer._link, payload.length, delayMs).then(() => {
      peer._receive(payload);
    });
  }

  public onDatagram(handler: DatagramHandler): Disposable {
    this._datagramHandlers.add(handler);
    return toDisposable(() => this._datagramHandlers.delete(handler));
  }

  public dispose(): void {
    this._network.leave(this.address);
  }

  private _receive(payload: string): void {
    if (this.isFrozen) {
      return;
    }
    for (const handler of this._datagramHandlers) {
      handler(payload);
    }
  }

  private _withTimeout<T>(pending: Promise<T>, timeoutMs: number): Promise<T | undefined> {
    return new Promise((resolve) => {
      const timer = this._network.clock.schedule(timeoutMs, () => {
        resolve(undefined);
      });
      void pending.then((value) => {
        timer.dispose();
        resolve(value);
      });
    });
  }
}

function never(): Promise<never> {
  return new Promise(() => undefined);
}

/** Copies a message by JSON, as a real link does. */
function copy(value: unknown): unknown {
  return value === undefined ? null : (JSON.parse(JSON.stringify(value)) as unknown);
}

function noResponse(address: string): ServiceError {
  return new ServiceError(ErrorKind.LinkFailed, `no response from peer ${address}`, {
    remedy: 'try another peer',
  });
}
