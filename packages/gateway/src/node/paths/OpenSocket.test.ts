import { SystemClock } from '@tanagerdyke/kernel';
import { describe, expect, it } from 'vitest';
import { openSocket } from './OpenSocket.js';

describe('openSocket', () => {
  it.each(['10.0.0.1:99999', '999.999.1.1:80', 'nowhere', '127.0.0.1:-1', ''])(
    'returns an error for the odd address %j',
    async (address) => {
      const opened = await openSocket(new SystemClock(), {
        address,
        timeoutMs: 1_000,
        signal: new AbortController().signal,
      });
      expect(opened.isErr && opened.error).toContain('no address to connect to');
    },
  );
});
