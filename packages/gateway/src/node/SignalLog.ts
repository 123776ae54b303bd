/** Logs and counts the signals of a gateway process. */
import { readFileSync } from 'node:fs';
import {
  describeCause,
  type Metrics,
  type ProcessSignals,
  type ReceivedSignal,
  SignalRequest,
} from '@tanagerdyke/kernel';
import type { DecisionLog } from '../common/DecisionLog.js';
import type { NodePhase } from '../common/NodePhase.js';

/** Lines about signals that have no effect; further ones are only counted. */
const MAX_IGNORED_LINES = 20;

export interface SignalLogOptions {
  readonly signals: ProcessSignals;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
  readonly node: { readonly phase: NodePhase; readonly running: number };
  /** Path of the settings file, and its text at the start. */
  readonly settings: { readonly path: string; readonly text: string };
}

/** Logs each signal of the process, with its effect, and counts them by phase. */
export function logSignals({ signals, log, metrics, node, settings }: SignalLogOptions): void {
  let ignored = 0;
  signals.onSignal(({ signal, request, isFirstStop }: ReceivedSignal) => {
    const { phase, running } = node;
    metrics.increment('tanager_signals_total', { signal, phase });
    if (request === SignalRequest.Reload) {
      log.write('node.reload', { phase, ...reload(settings) });
    } else if (isFirstStop) {
      log.write('node.stop-requested', { signal, phase, running });
    } else if (ignored++ < MAX_IGNORED_LINES) {
      log.write('node.signal-ignored', { signal, phase, running });
    }
  });
}

/** Settings apply until the process restarts; returns whether the file has changed since the start. */
function reload({ path, text }: SignalLogOptions['settings']): object {
  try {
    const isChanged = readFileSync(path, 'utf8') !== text;
    return { isChanged, takesEffect: 'at the next start' };
  } catch (error) {
    return { cause: describeCause(error) };
  }
}
