/** A naive transport that matches responses to requests by order alone. Only proof runs use it. */
import type { Disposable, ServiceError } from '@tanagerdyke/kernel';
import type { DatagramHandler, LinkTraffic, RequestHandler, Transport } from '@tanagerdyke/mesh';
import type { Result } from 'true-myth';

type PeerResponse = Result<unknown, ServiceError>;

/** Resolves the oldest pending request of the same method and peer with each response. */
export class MatchByOrderTransport implements Transport {
  private readonly _pendingRequests = new Map<string, ((response: PeerResponse) => void)[]>();

  constructor(private readonly _inner: Transport) {}

  public get address(): string {
    return this._inner.address;
  }

  public get traffic(): LinkTraffic {
    return this._inner.traffic;
  }

  public request(
    address: string,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<PeerResponse> {
    const queue = this._pendingRequests.get(`${address} ${method}`) ?? [];
    this._pendingRequests.set(`${address} ${method}`, queue);
    return new Promise((resolve) => {
      queue.push(resolve);
      void this._inner.request(address, method, params, timeoutMs).then((response) => {
        queue.shift()?.(response);
      });
    });
  }

  public handle(method: string, handler: RequestHandler): Disposable {
    return this._inner.handle(method, handler);
  }

  public sendDatagram(address: string, payload: string): void {
    this._inner.sendDatagram(address, payload);
  }

  public onDatagram(handler: DatagramHandler): Disposable {
    return this._inner.onDatagram(handler);
  }

  public dispose(): void {
    this._inner.dispose();
  }
}
