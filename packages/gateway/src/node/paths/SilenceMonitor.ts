/**
 * Detects that open connections to targets hang. While a target sends nothing for a request in
 * flight, its host is probed by a connection on this node's own link: a sound target that is silent
 * accepts it. Probes are limited for all targets together, since connections are billed.
 */
import {
  type Clock,
  type Disposable,
  DisposableOwner,
  runInBackground,
  toDisposable,
} from '@tanagerdyke/kernel';
import type { TargetPaths } from '../../common/paths/TargetPaths.js';

const CHECK_INTERVAL_MS = 100;
/** A target counts as silent when nothing arrived for a request in flight for this long. */
const SILENCE_MS = 300;
/** The same, when nothing arrived from any target. */
const COMMON_SILENCE_MS = 200;
const PROBE_INTERVAL_MS = 500;
const PROBE_TIMEOUT_MS = 150;
/** Targets probed at once when nothing arrives from any, enough to tell that the node is cut off. */
const PROBES_IF_ALL_ARE_SILENT = 3;

/** Opens and closes a connection on the own link. */
export interface LinkProbe {
  probe(address: string, timeoutMs: number): Promise<boolean>;
}

export interface SilenceMonitorOptions {
  readonly clock: Clock;
  readonly paths: TargetPaths;
  readonly probe: LinkProbe;
  /** Addresses of targets that this node has connections to. */
  readonly connectedAddresses: () => readonly string[];
}

/** A request in flight to a target. */
export interface WatchedExchange extends Disposable {
  /** Records that bytes of the answer arrived. */
  recordBytes(): void;
}

interface ExchangeState {
  readonly address: string;
  lastBytesAt: number;
}

/** Watches the requests in flight of this node, and probes lost targets until they are reached. */
export class SilenceMonitor extends DisposableOwner {
  private readonly _exchanges = new Set<ExchangeState>();
  private readonly _lastBytesAt = new Map<string, number>();
  private _lastBytesFromAnyAt = Number.NEGATIVE_INFINITY;
  private _lastProbeAt = Number.NEGATIVE_INFINITY;
  private _nextLost = 0;
  private _timer: Disposable | undefined;

  constructor(private readonly _options: SilenceMonitorOptions) {
    super();
    this.register(
      toDisposable(() => {
        this._timer?.dispose();
      }),
    );
    this.register(
      _options.paths.onChange(() => {
        this._scheduleCheck();
      }),
    );
  }

  /** Watches a request from the moment at which it is sent. */
  public watch(address: string): WatchedExchange {
    const { clock } = this._options;
    const exchange = { address, lastBytesAt: clock.now() };
    this._exchanges.add(exchange);
    this._scheduleCheck();
    return {
      recordBytes: () => {
        const now = clock.now();
        exchange.lastBytesAt = now;
        this._lastBytesAt.set(address, now);
        this._lastBytesFromAnyAt = now;
      },
      dispose: () => {
        this._exchanges.delete(exchange);
      },
    };
  }

  private _scheduleCheck(): void {
    if (this.isDisposed || this._timer !== undefined) {
      return;
    }
    this._timer = this._options.clock.schedule(CHECK_INTERVAL_MS, () => {
      this._timer = undefined;
      this._check();
      if (this._exchanges.size > 0 || this._options.paths.lostAddresses.length > 0) {
        this._scheduleCheck();
      } else {
        this._lastBytesAt.clear();
      }
    });
  }

  private _check(): void {
    const { clock, paths } = this._options;
    paths.expire();
    const now = clock.now();
    if (now - this._lastProbeAt < PROBE_INTERVAL_MS) {
      return;
    }
    const isAllSilent = now - this._lastBytesFromAnyAt >= COMMON_SILENCE_MS;
    const silenceMs = isAllSilent ? COMMON_SILENCE_MS : SILENCE_MS;
    const silent = new Set(
      [...this._exchanges]
        .filter(
          ({ address, lastBytesAt }) =>
            now - Math.max(lastBytesAt, this._lastBytesAt.get(address) ?? 0) >= silenceMs &&
            !paths.isLost(address),
        )
        .map(({ address }) => address),
    );
    const count = isAllSilent ? PROBES_IF_ALL_ARE_SILENT : 1;
    const lost = this._takeLost();
    if (silent.size === 0 && lost === undefined) {
      return;
    }
    this._lastProbeAt = now;
    const others = isAllSilent && silent.size > 0 ? this._options.connectedAddresses() : [];
    for (const address of [...new Set([...silent, ...others])].slice(0, count)) {
      runInBackground('target.probe', () => this._probeSilent(address));
    }
    if (lost !== undefined) {
      runInBackground('target.probe', () => this._probeLost(lost));
    }
  }

  /** The next lost target in turn. */
  private _takeLost(): string | undefined {
    const lost = this._options.paths.lostAddresses;
    this._nextLost = (this._nextLost + 1) % Math.max(1, lost.length);
    return lost[this._nextLost];
  }

  private async _probeSilent(address: string): Promise<void> {
    const { paths, probe } = this._options;
    if (await probe.probe(address, PROBE_TIMEOUT_MS)) {
      paths.recordReached(address);
    } else if (!this.isDisposed) {
      paths.recordFailure(address);
    }
  }

  private async _probeLost(address: string): Promise<void> {
    const { paths, probe } = this._options;
    if (await probe.probe(address, PROBE_TIMEOUT_MS)) {
      paths.recordReached(address);
    }
  }
}
