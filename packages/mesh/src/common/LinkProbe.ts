/**
 * Detects that an open link has gone silent: it was not closed, but nothing that is sent on it
 * arrives. While a response is due and nothing is received, the peer is probed on the same link,
 * less and less often as long as it responds. A peer may take its time for a request, so only an
 * unanswered probe counts.
 */
import { type Clock, type Disposable, DisposableOwner, toDisposable } from '@tanagerdyke/kernel';

/** Time without bytes from the peer after a request until it is probed. */
const FIRST_PROBE_DELAY_MS = 100;
const MAX_PROBE_DELAY_MS = 1_600;
/** Time for the response to a probe; several round trips between availability zones. */
const PROBE_TIMEOUT_MS = 150;

export interface LinkProbeOptions {
  readonly clock: Clock;
  /** Bytes received on the link so far. */
  readonly countReceived: () => number;
  /** Whether a response of the peer is due. */
  readonly isResponseDue: () => boolean;
  readonly sendProbe: () => void;
  /** Called at most once. */
  readonly onSilent: () => void;
}

/** Watches one link. */
export class LinkProbe extends DisposableOwner {
  private _delayMs = FIRST_PROBE_DELAY_MS;
  private _timer: Disposable | undefined;
  /** When the next probe is due; undefined while none is scheduled. */
  private _probeAt: number | undefined;
  private _isProbing = false;

  constructor(private readonly _options: LinkProbeOptions) {
    super();
    this.register(
      toDisposable(() => {
        this._timer?.dispose();
      }),
    );
  }

  /** Starts to watch; to be called when a request is sent. It never postpones a probe. */
  public watch(): void {
    const dueAt = this._options.clock.now() + FIRST_PROBE_DELAY_MS;
    const isDueLater = this._probeAt === undefined || this._probeAt > dueAt;
    if (!this._isProbing && isDueLater) {
      this._delayMs = FIRST_PROBE_DELAY_MS;
      this._scheduleProbe();
    }
  }

  private _scheduleProbe(): void {
    const { clock, countReceived, isResponseDue, sendProbe } = this._options;
    const received = countReceived();
    this._probeAt = clock.now() + this._delayMs;
    this._schedule(this._delayMs, () => {
      this._probeAt = undefined;
      if (!isResponseDue()) {
        return;
      }
      if (countReceived() > received) {
        this._scheduleProbe();
        return;
      }
      sendProbe();
      this._awaitProbeResponse();
    });
  }

  private _awaitProbeResponse(): void {
    const { countReceived, onSilent } = this._options;
    const received = countReceived();
    this._isProbing = true;
    this._schedule(PROBE_TIMEOUT_MS, () => {
      this._isProbing = false;
      if (countReceived() === received) {
        this.dispose();
        onSilent();
        return;
      }
      this._delayMs = Math.min(MAX_PROBE_DELAY_MS, this._delayMs * 2);
      this._scheduleProbe();
    });
  }

  private _schedule(delayMs: number, callback: () => void): void {
    this._timer?.dispose();
    if (!this.isDisposed) {
      this._timer = this._options.clock.schedule(delayMs, callback);
    }
  }
}
