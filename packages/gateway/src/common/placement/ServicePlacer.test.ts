import { describe, expect, it } from 'vitest';
import { placeCall, type ServiceCandidate } from './ServicePlacer.js';

function candidate(id: string, state: Partial<ServiceCandidate> = {}): ServiceCandidate {
  return {
    entry: {
      id,
      service: 'app',
      address: `${id}:80`,
      availabilityZone: 'a',
      slots: 6,
      isDraining: false,
      startedAt: undefined,
      coldMs: 0,
    },
    inFlight: 0,
    wait: 0,
    failureRate: 0,
    isSuspect: false,
    ...state,
  };
}

function inZone(id: string, availabilityZone: string, inFlight: number): ServiceCandidate {
  const base = candidate(id, { inFlight });
  return { ...base, entry: { ...base.entry, availabilityZone } };
}

describe('placeCall', () => {
  it('returns undefined without candidates', () => {
    expect(placeCall([], 'a')).toBeUndefined();
  });

  it('chooses the target with the fewest requests in flight', () => {
    const chosen = placeCall([candidate('t1', { inFlight: 3 }), candidate('t2')], 'a');
    expect(chosen?.id).toBe('t2');
  });

  it('prefers its own zone unless that is busier by more than 1.5 requests', () => {
    expect(placeCall([inZone('near', 'a', 1), inZone('far', 'b', 0)], 'a')?.id).toBe('near');
    expect(placeCall([inZone('near', 'a', 4), inZone('far', 'b', 0)], 'a')?.id).toBe('far');
  });

  it('chooses a suspect target only when there is no other', () => {
    const suspect = candidate('t1', { isSuspect: true });
    expect(placeCall([suspect, candidate('t2', { inFlight: 20 })], 'a')?.id).toBe('t2');
    expect(placeCall([suspect], 'a')?.id).toBe('t1');
  });

  describe('failure rates', () => {
    it('that are about equal on all targets do not affect the choice', () => {
      const both = [
        candidate('t1', { failureRate: 0.14 }),
        candidate('t2', { failureRate: 0.16, inFlight: 0 }),
      ];
      expect(placeCall(both, 'a')?.id).toBe('t1');
    });

    it('that are high on one target only make calls avoid it', () => {
      const failing = candidate('t1', { failureRate: 0.5 });
      expect(placeCall([failing, candidate('t2', { inFlight: 2 })], 'a')?.id).toBe('t2');
    });
  });
});
