/** Ends a program that has child processes when it gets a signal; they end with it. */
import { ProcessSignals, SignalRequest } from '@tanagerdyke/kernel';

/** Exits with the code on each signal that ends a process by default. */
export function exitOnSignal(exitCode: number): void {
  new ProcessSignals().onSignal(({ request }) => {
    if (request !== SignalRequest.None) {
      process.exit(exitCode);
    }
  });
}
