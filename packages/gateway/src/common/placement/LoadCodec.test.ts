import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import type { EngineWork } from './LoadBoard.js';
import { decodeRequest, encodeRequest, parseLoadUpdate } from './LoadCodec.js';

const work: EngineWork = {
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

describe('load news', () => {
  it('carry work to a node with another clock', () => {
    const wire = JSON.parse(JSON.stringify(encodeRequest(work, 1_000))) as Parameters<
      typeof decodeRequest
    >[0];
    expect(decodeRequest(wire, 5_000)).toEqual({ ...work, startedAt: 4_900, dueAt: 5_300 });
  });

  it('are read with any of their parts', () => {
    const sound = {
      node: 'n',
      works: [encodeRequest(work, 0)],
      began: ['1'],
      ended: [],
      all: ['2'],
    };
    expect(parseLoadUpdate(sound)).toBe(sound);
    expect(parseLoadUpdate({ node: 'n' })).toEqual({ node: 'n' });
  });

  it.each([
    null,
    [],
    'n',
    {},
    { node: 1 },
    { node: 'n', works: [[]] },
    { node: 'n', works: [['1', ['e'], 1, 2, 3, 4, 5, 6, 7, null]] },
    { node: 'n', began: [1] },
    { node: 'n', all: 'x' },
  ])('are refused when damaged: %j', (params) => {
    expect(parseLoadUpdate(params)).toBeUndefined();
  });

  it('are read or refused, whatever comes', () => {
    fc.assert(
      fc.property(fc.jsonValue(), (value) => {
        const load = parseLoadUpdate(value);
        for (const each of load?.works ?? []) {
          decodeRequest(each, 0);
        }
      }),
    );
  });
});
