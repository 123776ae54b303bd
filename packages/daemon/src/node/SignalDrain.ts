/** Drains a node when its process is asked to stop, whatever signals follow. */
import {
  type Logger,
  LogLevel,
  type Metrics,
  type ProcessSignals,
  SignalRequest,
} from '@tanagerdyke/kernel';

/** Log lines about signals that have no effect; further ones are only counted. */
const MAX_IGNORED_LINES = 20;

/** What of a node a drain needs. */
export interface DrainableNode {
  readonly isDraining: boolean;
  readonly metrics: Metrics;
  readonly requests: { readonly running: number };
  drain(forceSignal: AbortSignal): Promise<void>;
}

/** Drains on the first signal that asks for it; only SIGQUIT forces the drain to end. */
export async function drainOnSignal(
  node: DrainableNode,
  signals: ProcessSignals,
  logger: Logger,
): Promise<void> {
  const forceController = new AbortController();
  let ignored = 0;
  signals.onSignal(({ signal, request, isFirstStop }) => {
    const { running } = node.requests;
    node.metrics.increment('tanager_signals_total', { signal });
    if (request === SignalRequest.Abort) {
      logger.log(LogLevel.Warn, 'told to end at once, aborting the requests', { signal, running });
      forceController.abort();
    } else if (isFirstStop) {
      logger.log(LogLevel.Info, 'termination signal, draining', { signal, running });
    } else if (ignored++ < MAX_IGNORED_LINES) {
      const isDraining = node.isDraining;
      logger.log(LogLevel.Info, 'signal ignored', { signal, isDraining, running });
    }
  });
  await signals.stopped;
  await node.drain(forceController.signal);
}
