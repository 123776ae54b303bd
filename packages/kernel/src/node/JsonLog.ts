/**
 * Writes log lines as JSON to standard error by means of the `debug` library. Its patterns enable
 * and disable namespaces, at start by the DEBUG variable and at run time by `setLogNamespaces`.
 */
import debug from 'debug';
import type { Clock, Fields, Logger, LogLevel } from '../common/services/Services.js';

/** Enables the log namespaces that match `patterns` of `debug`, and disables all others. */
export function setLogNamespaces(patterns: string): void {
  debug.enable(patterns);
}

// The prefix and colours that debug adds by default would break the JSON lines.
debug.formatArgs = (): void => undefined;

/** Creates the logger of a node for the namespace `tanager:<area>`. */
export function createLogger(clock: Clock, node: string, area: string): Logger {
  const write = debug(`tanager:${area}`);
  write.log = (_format: string, line: string): void => {
    process.stderr.write(`${line}\n`);
  };
  return {
    log: (level: LogLevel, message: string, fields: Fields = {}): void => {
      if (!write.enabled) {
        return;
      }
      const line = { at: clock.wallTime(), level, node, area, message, ...fields };
      write('%s', JSON.stringify(line));
    },
  };
}
