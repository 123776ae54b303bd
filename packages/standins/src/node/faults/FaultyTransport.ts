/** Fault injection on the links to peers (delay, loss and cuts), for runs on loopback. */
import {
  type Clock,
  type Disposable,
  ErrorKind,
  type RandomSource,
  ServiceError,
} from '@tanagerdyke/kernel';
import type {
  DatagramHandler,
  Delivery,
  LinkTraffic,
  RequestHandler,
  Transport,
} from '@tanagerdyke/mesh';
import { Result } from 'true-myth';
import type { LinkRule, LinkRules } from '../../common/LinkRules.js';

/**
 * Wraps a transport and applies the link rules to what it sends. Responses are subject to the rule
 * of the requesting side that is in force when they arrive.
 */
export class FaultyTransport implements Transport {
  constructor(
    private readonly _inner: Transport,
    private readonly _rules: LinkRules,
    private readonly _clock: Clock,
    private readonly _random: RandomSource,
  ) {}

  public get address(): string {
    return this._inner.address;
  }

  public get traffic(): LinkTraffic {
    return this._inner.traffic;
  }

  public async request(
    address: string,
    method: string,
    params: unknown,
    timeoutMs: number,
    delivery?: Delivery,
  ): Promise<Result<unknown, ServiceError>> {
    const rule = this._rules.ruleFor(address);
    if (this._drawLoss(rule)) {
      await this._clock.sleep(timeoutMs);
      return Result.err(linkLostError(address));
    }
    await this._clock.sleep(this._drawDelayMs(rule));
    const response = await this._inner.request(address, method, params, timeoutMs, delivery);
    const responseRule = this._rules.ruleFor(address);
    if (this._drawLoss(responseRule)) {
      await this._clock.sleep(timeoutMs);
      return Result.err(linkLostError(address));
    }
    await this._clock.sleep(this._drawDelayMs(responseRule));
    return response;
  }

  public handle(method: string, handler: RequestHandler): Disposable {
    return this._inner.handle(method, handler);
  }

  public sendDatagram(address: string, payload: string): void {
    const rule = this._rules.ruleFor(address);
    if (this._drawLoss(rule)) {
      return;
    }
    const delayMs = this._drawDelayMs(rule);
    if (delayMs === 0) {
      this._inner.sendDatagram(address, payload);
      return;
    }
    this._clock.schedule(delayMs, () => {
      this._inner.sendDatagram(address, payload);
    });
  }

  public onDatagram(handler: DatagramHandler): Disposable {
    return this._inner.onDatagram(handler);
  }

  public dispose(): void {
    this._inner.dispose();
  }

  /** Draws whether a message is lost. */
  private _drawLoss(rule: LinkRule): boolean {
    return rule.isCut || this._random.next() < rule.loss;
  }

  private _drawDelayMs({ delayMs, jitterMs }: LinkRule): number {
    return delayMs + this._random.next() * jitterMs;
  }
}

function linkLostError(address: string): ServiceError {
  return new ServiceError(
    ErrorKind.LinkFailed,
    `no response from peer ${address}: lost by fault injection`,
    {
      remedy: 'none; the run injects this fault on purpose',
    },
  );
}
