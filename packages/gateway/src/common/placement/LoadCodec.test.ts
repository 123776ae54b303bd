import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { ActiveRequest } from './ActiveRequestTable.js';
import {
  decodeRequest,
  decodeRequests,
  encodeRequest,
  encodeRequests,
  parseLoadUpdate,
} from './LoadCodec.js';

const request: ActiveRequest = {
  id: '1f',
  targets: ['e1', 'e2'],
  isMemoryShared: true,
  partPrefillMs: 20,
  startedAt: 900,
  dueAt: 1_300,
  isGenerating: true,
  pauseTargetMs: 200,
  value: 2.1,
  memoryTokens: 6_600,
  contextTokens: 5_000,
};

describe('load updates', () => {
  it('convert the times of a request to the clock of the receiver', () => {
    const wire = JSON.parse(JSON.stringify(encodeRequest(request, 1_000))) as Parameters<
      typeof decodeRequest
    >[0];
    expect(decodeRequest(wire, 5_000)).toEqual({ ...request, startedAt: 4_900, dueAt: 5_300 });
  });

  it('carry the expected ends beside the requests, so that earlier releases accept them', () => {
    const estimated = { ...request, id: '2', expectedEndAt: 3_000 };
    const encoded = encodeRequests([request, estimated], 1_000);
    const update = parseLoadUpdate(JSON.parse(JSON.stringify({ node: 'n', ...encoded })));
    expect(update?.works?.map((each) => each.length)).toEqual([10, 10]);
    const decoded = decodeRequests(update ?? { node: '' }, 5_000);
    expect(decoded.map(({ expectedEndAt }) => expectedEndAt)).toEqual([undefined, 7_000]);
    expect(encodeRequests([request], 1_000)).not.toHaveProperty('ends');
    expect(decodeRequests({ node: 'n', works: update?.works ?? [] }, 5_000)).toHaveLength(2);
  });

  it('are accepted with all optional fields or none', () => {
    const valid = {
      node: 'n',
      works: [encodeRequest(request, 0)],
      began: ['1'],
      ended: [],
      all: ['2'],
    };
    expect(parseLoadUpdate(valid)).toBe(valid);
    expect(parseLoadUpdate({ node: 'n' })).toEqual({ node: 'n' });
  });

  it.each([
    null,
    [],
    'n',
    {},
    { node: 1 },
    { node: 'n', ends: 5 },
    { node: 'n', ends: ['1'] },
    { node: 'n', works: [[]] },
    { node: 'n', works: [['1', ['e'], 1, 2, 3, 4, 5, 6, 7, null]] },
    { node: 'n', began: [1] },
    { node: 'n', all: 'x' },
  ])('are rejected when malformed: %j', (params) => {
    expect(parseLoadUpdate(params)).toBeUndefined();
  });

  it('are accepted or rejected without an exception, whatever JSON value is received', () => {
    fc.assert(
      fc.property(fc.jsonValue(), (value) => {
        const update = parseLoadUpdate(value);
        for (const each of update?.works ?? []) {
          decodeRequest(each, 0);
        }
      }),
    );
  });
});
