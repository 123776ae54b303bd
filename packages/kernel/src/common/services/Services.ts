/**
 * The service interfaces of the kernel layer. All other layers receive them by dependency
 * injection, so that tests can run the same code with a manual clock, a seeded random source and a
 * recording log.
 */

/** A resource or registration that must be released. `dispose` is idempotent. */
export interface Disposable {
  dispose(): void;
}

/** A source of time. All durations and instants are in milliseconds. */
export interface Clock {
  /** Monotonic time in milliseconds; only comparable within one process. */
  now(): number;
  /**
   * Milliseconds since the Unix epoch; may jump. Only for values that processes compare, such as
   * the times in identifiers, and for display.
   */
  wallTime(): number;
  /** Runs `callback` once after `delayMs`; disposing the handle cancels it. */
  schedule(delayMs: number, callback: () => void): Disposable;
  /** Resolves after `delayMs`, or immediately when `signal` aborts. Never rejects. */
  sleep(delayMs: number, signal?: AbortSignal): Promise<void>;
}

/** A source of random numbers, either seeded or provided by the operating system. */
export interface RandomSource {
  /** A float in [0, 1). */
  next(): number;
  /** An integer in [0, bound). */
  integer(bound: number): number;
  /** A random identifier in the form of a UUID, version 4. */
  identifier(): string;
}

/** The severity of a log line. */
export enum LogLevel {
  Debug = 'debug',
  Info = 'info',
  Warn = 'warn',
  Error = 'error',
}

/** The fields of a log line or time line event. Values are JSON scalars. */
export type Fields = Readonly<Record<string, string | number | boolean | undefined>>;

/** Writes the log lines of one namespace as JSON. */
export interface Logger {
  log(level: LogLevel, message: string, fields?: Fields): void;
}
