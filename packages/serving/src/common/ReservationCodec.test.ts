/** Tests of the wire format of reservations. */
import { LengthClass } from '@tanagerdyke/contracts';
import { describe, expect, it } from 'vitest';
import fc from 'fast-check';
import type { ReserveRequest, ReserveResponse } from './Messages.js';
import {
  encodeReserveRequest,
  encodeReserveResponse,
  reserveRequestDecoder,
  reserveResponseDecoder,
} from './ReservationCodec.js';

function overWire(value: unknown): unknown {
  return JSON.parse(JSON.stringify(value));
}

const request: fc.Arbitrary<ReserveRequest> = fc.record({
  target: fc.string(),
  id: fc.uuid(),
  node: fc.string(),
  incarnation: fc.nat(),
  workspace: fc.string(),
  version: fc.string(),
  lengthClass: fc.constantFrom(...Object.values(LengthClass)),
  prefillTokens: fc.nat(),
  prefixes: fc.array(fc.record({ prefix: fc.string(), tokens: fc.nat() })),
  outputTokens: fc.nat(),
  memoryTokens: fc.nat(),
  remainingMs: fc.integer(),
});

const response: fc.Arbitrary<ReserveResponse> = fc.record({
  isGranted: fc.boolean(),
  hasVersion: fc.boolean(),
  isLeaving: fc.boolean(),
  estimateMs: fc.nat(),
  retryAfterMs: fc.nat(),
  hint: fc.record({ freeTokens: fc.integer(), running: fc.nat(), backlogMs: fc.array(fc.nat()) }),
});

describe('ReservationCodec', () => {
  describe('requests', () => {
    it('round-trip unchanged', () => {
      fc.assert(
        fc.property(request, (sent) => {
          expect(reserveRequestDecoder.parse(overWire(encodeReserveRequest(sent)))).toEqual(sent);
        }),
        { seed: 8 },
      );
    });

    it('never gain remaining time by rounding', () => {
      const sent = { ...fc.sample(request, { numRuns: 1, seed: 9 })[0], remainingMs: 99.9 };
      const wire = overWire(encodeReserveRequest(sent as ReserveRequest));
      expect(reserveRequestDecoder.parse(wire).remainingMs).toBe(99);
    });

    it('are rejected when a field is missing', () => {
      expect(reserveRequestDecoder.safeParse(['engine-0', 'id']).success).toBe(false);
    });
  });

  describe('responses', () => {
    it('round-trip unchanged', () => {
      fc.assert(
        fc.property(response, (sent) => {
          expect(reserveResponseDecoder.parse(overWire(encodeReserveResponse(sent)))).toEqual(sent);
        }),
        { seed: 10 },
      );
    });
  });
});
