import { describe, expect, it } from 'vitest';
import { isSettled } from './StartupCheck.js';

describe('isSettled', () => {
  it('waits for a ready peer to confirm what the node read from the store', () => {
    expect(isSettled(100, 900, { hasReadyPeers: true, isConfirmed: false })).toBe(false);
    expect(isSettled(100, 150, { hasReadyPeers: true, isConfirmed: true })).toBe(true);
  });

  it('waits for peers to be known, but not longer while none is ready', () => {
    // Guards against a longer outage when all nodes start together.
    expect(isSettled(100, 500, { hasReadyPeers: false, isConfirmed: false })).toBe(false);
    expect(isSettled(100, 800, { hasReadyPeers: false, isConfirmed: false })).toBe(true);
  });

  it('serves in the end when ready peers are known but not heard', () => {
    expect(isSettled(100, 3_200, { hasReadyPeers: true, isConfirmed: false })).toBe(true);
  });
});
