import { describe, expect, it } from 'vitest';
import { callerLimits } from './CallerLimits.js';

const MIB = 1024 * 1024;
/** Memory that a process takes with ordinary callers only. */
const PROCESS_BYTES = 120_000_000;
const LARGEST_BODY_BYTES = 4 * MIB;

describe('callerLimits', () => {
  it.each([202, 250, 350, 602])('leave the process its memory on a host of %d MB', (memoryMb) => {
    const limits = callerLimits({ memoryBytes: memoryMb * 1e6, maxDescriptors: 4_096 });
    expect(limits.memory.bytes + PROCESS_BYTES).toBeLessThan(memoryMb * 1e6);
    // A body is received in segments, and then put together.
    expect(limits.memory.connectionBytes).toBeGreaterThan(2 * LARGEST_BODY_BYTES);
    expect(limits.memory.callerBytes).toBeGreaterThan(limits.memory.connectionBytes);
  });

  it('allow some hundred connections from one address, and fewer than there are descriptors', () => {
    const limits = callerLimits({ memoryBytes: 202e6, maxDescriptors: 2_048 });
    expect(limits.front.fromAddress).toBeGreaterThan(500);
    expect(limits.front.all + limits.control.all).toBeLessThan(2_048);
  });
});
