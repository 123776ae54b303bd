/**
 * The signals of a process. Stops overlap: a tool repeats the signal when it gets no answer in time, and
 * a stop of one host in turn begins again. So a signal that asks for a stop has its effect once, and no
 * signal has its default effect, which ends the process with its requests: there is a listener for each
 * from the start of the process to its end.
 */
import { Emitter } from '../common/Emitter.js';

/** What a signal asks of the process. */
export enum SignalRequest {
  /** End once the requests in flight have ended. */
  Stop = 'stop',
  /** The same, without waiting for them. */
  Abort = 'abort',
  /** Read the settings again. */
  Reload = 'reload',
  /** Nothing; by default, the process ends, or a debugger listens. */
  None = 'none',
}

/** The signals that have a listener, with what they ask. */
const SIGNAL_REQUESTS = {
  SIGTERM: SignalRequest.Stop,
  SIGINT: SignalRequest.Stop,
  SIGQUIT: SignalRequest.Abort,
  SIGHUP: SignalRequest.Reload,
  SIGUSR1: SignalRequest.None,
  SIGUSR2: SignalRequest.None,
} as const satisfies Partial<Record<NodeJS.Signals, SignalRequest>>;

/** Requests that end the process. */
const ENDING_REQUESTS: ReadonlySet<SignalRequest> = new Set([
  SignalRequest.Stop,
  SignalRequest.Abort,
]);

export type SignalName = keyof typeof SIGNAL_REQUESTS;

/** A signal that the process got. */
export interface ReceivedSignal {
  readonly signal: SignalName;
  readonly request: SignalRequest;
  /** Whether it is the first one that asks the process to end. */
  readonly isFirstStop: boolean;
}

/** Emits signals, as `process` does. */
export interface SignalSource {
  on(signal: SignalName, listener: () => void): unknown;
}

/** Receives the signals of a process from its construction on. */
export class ProcessSignals {
  /** Resolves with the first signal that asks the process to end. */
  public readonly stopped: Promise<SignalName>;
  private readonly _onSignal = new Emitter<ReceivedSignal>();
  /** Fires with each signal. */
  public readonly onSignal = this._onSignal.event;
  private _isStopped = false;

  constructor(source: SignalSource = process) {
    this.stopped = new Promise((resolve) => {
      for (const signal of Object.keys(SIGNAL_REQUESTS) as SignalName[]) {
        const request = SIGNAL_REQUESTS[signal];
        source.on(signal, () => {
          const isFirstStop = ENDING_REQUESTS.has(request) && !this._isStopped;
          this._isStopped ||= isFirstStop;
          if (isFirstStop) {
            resolve(signal);
          }
          this._onSignal.fire({ signal, request, isFirstStop });
        });
      }
    });
  }
}
