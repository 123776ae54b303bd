/**
 * Replays a burst that takes all slots at once. Guards against an expected wait of nearly nothing,
 * after which callers wait and are refused late, and against refusals while slots are free.
 */
import { SeededRandom } from '@tanagerdyke/kernel';
import { describe, expect, it } from 'vitest';
import type { ActiveRequest } from './ActiveRequestTable.js';
import { capacityWaitMs } from './CapacityWait.js';

const NOW = 10_000;

function active(startedAt: number, expectedEndAt: number | undefined): ActiveRequest {
  return {
    id: '1',
    targets: ['e1'],
    isMemoryShared: false,
    partPrefillMs: 20,
    startedAt,
    dueAt: startedAt + 300,
    expectedEndAt,
    isGenerating: true,
    pauseTargetMs: 200,
    value: 2,
    memoryTokens: 6_600,
    contextTokens: 5_000,
  };
}

function repeated(count: number, request: ActiveRequest): ActiveRequest[] {
  return Array.from({ length: count }, () => request);
}

describe('capacityWaitMs', () => {
  it('expects a wait in a burst whose requests have just started', () => {
    const burst = (endAt: number | undefined): ActiveRequest[] =>
      repeated(40, active(NOW - 20, endAt));
    expect(capacityWaitMs(burst(undefined), 20, 0, NOW)).toBeLessThan(50);
    expect(capacityWaitMs(burst(NOW + 2_000), 20, 0, NOW)).toBeGreaterThan(1_000);
  });

  it('computes by the ages if no request has an estimate, as before', () => {
    expect(capacityWaitMs(repeated(10, active(NOW - 1_000, undefined)), 5, 3, NOW)).toBe(1_000);
    expect(capacityWaitMs([], 5, 0, NOW)).toBe(0);
  });

  it('expects no wait while there are more free slots than prompts ahead', () => {
    expect(capacityWaitMs(repeated(40, active(NOW, NOW + 5_000)), 3, 4, NOW)).toBe(0);
    expect(capacityWaitMs(repeated(40, active(NOW, NOW + 5_000)), 4, 4, NOW)).toBeGreaterThan(0);
  });

  it('expects a request that is past its estimate to go on for a part of its age', () => {
    expect(capacityWaitMs([active(NOW - 8_000, NOW - 6_000)], 0, 0, NOW)).toBeCloseTo(2_000, 0);
  });

  it('expects further rounds for more prompts than slots', () => {
    const slots = repeated(4, active(NOW, NOW + 1_000));
    const waits = [1, 3, 7, 15].map((ahead) => capacityWaitMs(slots, ahead, 0, NOW));
    expect([...waits].sort((a, b) => a - b)).toEqual(waits);
    expect(waits.at(-1)).toBeGreaterThan(5_000);
  });

  it('is close to the real wait when lengths scatter', () => {
    const random = new SeededRandom(11);
    const ratios: number[] = [];
    for (let round = 0; round < 200; round++) {
      const lengths = Array.from({ length: 60 }, () => ({
        estimatedMs: 500 + random.next() * 2_000,
        factor: Math.exp(random.next() + random.next() + random.next() - 1.5),
        ageShare: random.next(),
      }));
      const requests: ActiveRequest[] = [];
      const remaining: number[] = [];
      for (const { ageShare, estimatedMs, factor } of lengths) {
        const ageMs = estimatedMs * factor * ageShare;
        requests.push(active(NOW - ageMs, NOW - ageMs + estimatedMs));
        remaining.push(estimatedMs * factor - ageMs);
      }
      remaining.sort((a, b) => a - b);
      ratios.push(capacityWaitMs(requests, 9, 0, NOW) / (remaining[9] ?? 0));
    }
    ratios.sort((a, b) => a - b);
    expect(ratios[100]).toBeGreaterThan(0.5);
    expect(ratios[100]).toBeLessThan(2);
  });
});
