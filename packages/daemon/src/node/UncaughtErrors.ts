/**
 * Ends the process on an uncaught exception or an unhandled rejection, both of which are defects.
 */
import { type Logger, LogLevel } from '@tanagerdyke/kernel';

/** Exit code after an uncaught error. */
export const EXIT_UNCAUGHT_ERROR = 1;

/** Emits uncaught errors, as `process` does. */
export interface UncaughtErrorSource {
  on(
    event: 'uncaughtException' | 'unhandledRejection',
    listener: (error: unknown) => void,
  ): unknown;
}

/** Logs each uncaught error that `source` emits and exits with `EXIT_UNCAUGHT_ERROR`. */
export function exitOnUncaughtErrors(
  source: UncaughtErrorSource,
  logger: Logger,
  exit: (code: number) => void,
): void {
  const logAndExit = (error: unknown): void => {
    const stack = error instanceof Error ? error.stack : String(error);
    logger.log(LogLevel.Error, 'defect', { stack });
    exit(EXIT_UNCAUGHT_ERROR);
  };
  source.on('uncaughtException', logAndExit);
  source.on('unhandledRejection', logAndExit);
}
