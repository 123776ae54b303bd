/** Guards against a second signal that ends a process which drains. */
import { EventEmitter } from 'node:events';
import { beforeEach, describe, expect, it } from 'vitest';
import { ProcessSignals, type ReceivedSignal, type SignalName } from './ProcessSignals.js';

const SIGNALS: readonly SignalName[] = [
  'SIGHUP',
  'SIGUSR1',
  'SIGUSR2',
  'SIGINT',
  'SIGTERM',
  'SIGQUIT',
];

describe('ProcessSignals', () => {
  let source: EventEmitter;
  let signals: ProcessSignals;
  let received: ReceivedSignal[];

  beforeEach(() => {
    source = new EventEmitter();
    signals = new ProcessSignals(source);
    received = [];
    signals.onSignal((signal) => received.push(signal));
  });

  describe('a series of signals', () => {
    it('stops the process once, by the first one that asks for it', async () => {
      for (const signal of [...SIGNALS, ...SIGNALS]) {
        source.emit(signal);
      }
      expect(await signals.stopped).toBe('SIGINT');
      expect(received).toHaveLength(2 * SIGNALS.length);
      const first = received.filter(({ isFirstStop }) => isFirstStop);
      expect(first.map(({ signal }) => signal)).toEqual(['SIGINT']);
    });

    it.each(SIGNALS)('has a listener after %s', (signal) => {
      source.emit(signal);
      source.emit(signal);
      expect(source.listenerCount(signal)).toBe(1);
    });
  });
});
