/** Output and exit codes of the commands. */
import type { ServiceError } from '@tanagerdyke/kernel';

/** Exit codes of `tanagerctl`. */
export enum ExitCode {
  Success = 0,
  Failure = 1,
  Usage = 2,
}

/** Prints a value as one JSON line, or as text by `render`. */
export function print<T>(value: T, isJson: boolean, render: (value: T) => string): void {
  const text = isJson ? JSON.stringify(value) : render(value);
  process.stdout.write(`${text}\n`);
}

/** Prints an error with its remedy and sets the exit code. */
export function printError(error: ServiceError, isJson: boolean): void {
  const { kind, message, remedy, notRun, retryAfterMs, findings } = error;
  if (isJson) {
    const line = JSON.stringify({ kind, message, remedy, notRun, retryAfterMs, findings });
    process.stdout.write(`${line}\n`);
  } else {
    const findingLines = findings.map((finding) => `  ${finding}\n`).join('');
    process.stderr.write(`tanagerctl: ${message}\n${findingLines}remedy: ${remedy}\n`);
  }
  process.exitCode = ExitCode.Failure;
}

/** Prints an error in the use of the command line and sets the exit code. */
export function printUsage(message: string): void {
  process.stderr.write(`tanagerctl: ${message}\nsee tanagerctl --help\n`);
  process.exitCode = ExitCode.Usage;
}
