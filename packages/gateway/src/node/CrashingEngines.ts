/**
 * Targets that crash when they begin to write the answer to certain requests, on a manual clock, for
 * tests. A crash breaks all answers of the target, which starts again later. Not shipped.
 */
import type { ManualClock } from '@tanagerdyke/kernel';
import type { Exchange, ExchangeObserver, RequestSender, UpstreamRequest } from './Upstream.js';

const CONNECT_MS = 1;
const PREFILL_MS = 60;
const EVENT_INTERVAL_MS = 80;
const EVENTS = 5;
const RESTART_MS = 2_000;

/** A request that reached an engine. */
export interface EngineArrival {
  readonly at: number;
  readonly isCrashing: boolean;
}

/** Sends requests to simulated engines, and records what they get and when they crash. */
export class CrashingEngines implements RequestSender {
  public readonly arrivals: EngineArrival[] = [];
  public readonly crashedAt: number[] = [];
  /** Called with the id of a target that crashed. */
  public onCrash: (id: string) => void = () => undefined;
  private readonly _running = new Map<string, Set<ExchangeObserver>>();
  private readonly _downUntil = new Map<string, number>();

  constructor(
    private readonly _clock: ManualClock,
    private readonly _isCrashing: (request: UpstreamRequest) => boolean,
  ) {}

  public send(
    { id }: { readonly id: string },
    _connections: number,
    request: UpstreamRequest,
    observer: ExchangeObserver,
  ): Exchange {
    const running = this._runningAt(id);
    this._clock.schedule(CONNECT_MS, () => {
      if (this._clock.now() < (this._downUntil.get(id) ?? 0)) {
        observer.onError(new Error('connection refused'));
        return;
      }
      observer.onSendStart();
      running.add(observer);
      const isCrashing = this._isCrashing(request);
      this.arrivals.push({ at: this._clock.now(), isCrashing });
      this._clock.schedule(PREFILL_MS, () => {
        if (running.has(observer)) {
          this._write(id, observer, isCrashing, lastEventOf(request) + 1);
        }
      });
    });
    return {
      abort: () => running.delete(observer),
      pause: () => undefined,
      resume: () => undefined,
    };
  }

  /** Breaks all answers of a target, which accepts connections again after a while. */
  public crash(id: string): void {
    this._downUntil.set(id, this._clock.now() + RESTART_MS);
    this.reset(id);
    this.onCrash(id);
  }

  /** Breaks all answers of a target, which goes on. */
  public reset(id: string): void {
    const running = this._runningAt(id);
    const broken = [...running];
    running.clear();
    for (const observer of broken) {
      observer.onError(new Error('other side closed'));
    }
  }

  private _write(id: string, observer: ExchangeObserver, isCrashing: boolean, event: number): void {
    if (isCrashing) {
      this.crashedAt.push(this._clock.now());
      this.crash(id);
      return;
    }
    observer.onHead(200, ['Attempt', 'a1', 'Transfer-Encoding', 'chunked']);
    this._writeFrom(id, observer, event);
  }

  private _writeFrom(id: string, observer: ExchangeObserver, event: number): void {
    if (!this._runningAt(id).has(observer)) {
      return;
    }
    if (event > EVENTS) {
      this._runningAt(id).delete(observer);
      observer.onEnd();
      return;
    }
    observer.onData(Buffer.from(`id: ${event}\ndata: event ${event}\n\n`));
    this._clock.schedule(EVENT_INTERVAL_MS, () => {
      this._writeFrom(id, observer, event + 1);
    });
  }

  private _runningAt(id: string): Set<ExchangeObserver> {
    let running = this._running.get(id);
    if (running === undefined) {
      running = new Set();
      this._running.set(id, running);
    }
    return running;
  }
}

/** Ids of the parts of a prompt. */
export function partsOf({ headers }: UpstreamRequest): readonly string[] {
  const index = headers.indexOf('Parts');
  return index === -1 ? [] : (headers[index + 1] ?? '').split(',');
}

function lastEventOf({ headers }: UpstreamRequest): number {
  const index = headers.indexOf('Last');
  return index === -1 ? 0 : Number(headers[index + 1]);
}
