/** Ends a process at a defect: an exception that nobody caught or a rejection that nobody handled. */
import { type Logger, LogLevel } from '@tanagerdyke/kernel';

/** The exit code after a defect. */
export const EXIT_UNCAUGHT_ERROR = 1;

/** Where defects are reported, as by the process. */
export interface UncaughtErrorSource {
  on(
    event: 'uncaughtException' | 'unhandledRejection',
    listener: (error: unknown) => void,
  ): unknown;
}

/** Logs defects that `source` reports, and exits. */
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
