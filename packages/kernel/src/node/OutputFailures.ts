/**
 * Failures of standard output and standard error: their reader is gone, or the disk behind them is full.
 * Without a listener the failure of a write ends the process, although only lines of its log are lost.
 */

/** A write to one of the streams that failed. */
export interface OutputFailure {
  readonly stream: 'stdout' | 'stderr';
  /** Code of the system's error, such as `EPIPE`. */
  readonly code: string;
}

/** Emits the failures of writes, as `process.stdout` does. */
export interface OutputStream {
  on(event: 'error', listener: (error: NodeJS.ErrnoException) => void): unknown;
}

/** Calls the listener for failed writes to the streams, which end the process no more. */
export function onOutputFailure(
  listener: (failure: OutputFailure) => void,
  streams: Readonly<Record<OutputFailure['stream'], OutputStream>> = process,
): void {
  for (const stream of ['stdout', 'stderr'] as const) {
    streams[stream].on('error', ({ code = 'unknown' }) => {
      listener({ stream, code });
    });
  }
}
