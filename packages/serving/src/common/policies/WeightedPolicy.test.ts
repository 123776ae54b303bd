/** Tests of the ranking by wait and role. */
import { LengthClass } from '@tanagerdyke/contracts';
import { type Host, ObjectKind, objectSchema } from '@tanagerdyke/configuration';
import { describe, expect, it } from 'vitest';
import type { Candidate, PlacementQuery } from '../services/Services.js';
import { WeightedPolicy } from './WeightedPolicy.js';

const ENVIRONMENT = { random: () => 0, availabilityZone: 'z' };
const SHORT: PlacementQuery = {
  lengthClass: LengthClass.Short,
  promptTokens: 2_000,
  idlePrefillMs: 100,
  workspace: 'w',
};

function candidate(name: string, change: Partial<Candidate>): Candidate {
  const host = objectSchema.parse({
    kind: ObjectKind.Host,
    name: `host-${name}`,
    region: 'r',
    availabilityZone: 'z',
    targets: [{ name, kind: 'engine', adapter: 'fake', address: 'http://127.0.0.1:1' }],
  }) as Host;
  const [target] = host.targets;
  if (target === undefined) {
    throw new Error('a host has a target');
  }
  return {
    hostedTarget: { host, target },
    backlogMs: 0,
    isAffine: false,
    isForLong: false,
    ...change,
  };
}

function namesOf(candidates: readonly Candidate[]): readonly string[] {
  return candidates.map(({ hostedTarget }) => hostedTarget.target.name);
}

describe('WeightedPolicy', () => {
  it('prefers engines for short prompts if the waits are similar', () => {
    const ranked = new WeightedPolicy(ENVIRONMENT, 1).rank(SHORT, [
      candidate('long', { isForLong: true }),
      candidate('general', { backlogMs: 10 }),
    ]);
    expect(namesOf(ranked)).toEqual(['general', 'long']);
  });

  it('prefers engines for long prompts to a wait longer than one chunk', () => {
    const ranked = new WeightedPolicy(ENVIRONMENT, 1).rank(SHORT, [
      candidate('general', { backlogMs: 100 }),
      candidate('long', { isForLong: true }),
    ]);
    expect(namesOf(ranked)).toEqual(['long', 'general']);
  });

  it('ranks by the wait alone at weight 0', () => {
    const ranked = new WeightedPolicy(ENVIRONMENT, 0).rank(SHORT, [
      candidate('general', { backlogMs: 1 }),
      candidate('long', { isForLong: true }),
    ]);
    expect(namesOf(ranked)).toEqual(['long', 'general']);
  });
});
