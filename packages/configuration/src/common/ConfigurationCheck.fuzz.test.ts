/** Runs the check on generated sets: it must never throw and must detect every broken reference. */
import fc from 'fast-check';
import { describe, expect, it } from 'vitest';
import { checkObjects, checkTransition } from './ConfigurationCheck.js';
import {
  type ConfigurationObject,
  type Host,
  ObjectKind,
  objectSchema,
  type Route,
  TargetKind,
  type Version,
  type Workspace,
} from './Objects.js';
import { ObjectSet } from './ObjectSet.js';

const SEED = 11;
const RUNS = 2_000;

/** Only three names, so that both valid and broken references are frequent. */
const name = fc.constantFrom('a', 'b', 'c');
const names = fc.uniqueArray(name, { maxLength: 3 });
const tokens = fc.constantFrom(0, 100, 10_000);

const target = fc.record({
  name,
  kind: fc.constantFrom(TargetKind.Engine, TargetKind.Service),
  adapter: fc.constant('http'),
  address: fc.nat(9).map((port) => `http://127.0.0.1:${port}`),
  versions: names,
  memoryTokens: tokens,
  prefillTokensPerSecond: tokens,
  decodeTokensPerSecond: tokens,
});
const weighted = fc.record({ version: name, weight: fc.constantFrom(0, 50, 100) });
const object = fc.oneof(
  fc.record({ kind: fc.constant(ObjectKind.Model), name, maxPromptTokens: fc.constant(100) }),
  fc.record({ kind: fc.constant(ObjectKind.Version), name, model: name }),
  fc.record({
    kind: fc.constant(ObjectKind.Route),
    name,
    versions: fc.oneof(fc.array(weighted, { maxLength: 2 }), fc.constant([])),
    services: names,
  }),
  fc.record({
    kind: fc.constant(ObjectKind.Workspace),
    name,
    tokenDigest: fc.constantFrom('0'.repeat(64), '1'.repeat(64)),
    routes: fc.uniqueArray(name, { minLength: 1, maxLength: 2 }),
  }),
  fc.record({
    kind: fc.constant(ObjectKind.Host),
    name,
    region: fc.constant('r'),
    availabilityZone: fc.constant('z'),
    targets: fc.array(target, { minLength: 1, maxLength: 2 }),
  }),
  fc.record({
    kind: fc.constant(ObjectKind.System),
    name: fc.constant('system'),
    claimShards: fc.constantFrom(1, 2),
  }),
);
const sets = fc
  .array(object, { maxLength: 12 })
  .map((objects) => ObjectSet.of(objects.map((each) => objectSchema.parse(each))));

/** All references to names that the set doesn't contain; implemented independently of the check. */
function findBrokenReferences(set: ObjectSet): readonly string[] {
  const keys = new Set(set.objects.map(({ kind, name: own }) => `${kind}/${own}`));
  for (const host of set.objects.filter((each): each is Host => each.kind === ObjectKind.Host)) {
    host.targets.forEach((each) => keys.add(`target/${each.name}`));
  }
  return set.objects.flatMap(referencesOf).filter((reference) => !keys.has(reference));
}

function referencesOf(each: ConfigurationObject): readonly string[] {
  const finders: Partial<Record<ObjectKind, () => readonly string[]>> = {
    [ObjectKind.Version]: () => [`Model/${(each as Version).model}`],
    [ObjectKind.Workspace]: () => (each as Workspace).routes.map((route) => `Route/${route}`),
    [ObjectKind.Route]: () => [
      ...(each as Route).versions.map(({ version }) => `Version/${version}`),
      ...(each as Route).services.map((service) => `target/${service}`),
    ],
    [ObjectKind.Host]: () =>
      (each as Host).targets.flatMap(({ versions }) => versions.map((id) => `Version/${id}`)),
  };
  return finders[each.kind]?.() ?? [];
}

describe('checkObjects on generated sets', () => {
  it('accepts no set with a broken reference', () => {
    let accepted = 0;
    let brokenSets = 0;
    fc.assert(
      fc.property(sets, (set) => {
        const findings = checkObjects(set);
        const broken = findBrokenReferences(set);
        accepted += findings.length === 0 && set.size > 0 ? 1 : 0;
        brokenSets += broken.length > 0 ? 1 : 0;
        expect(findings.length > 0 || broken.length === 0).toBe(true);
      }),
      { seed: SEED, numRuns: RUNS },
    );
    // The property would be vacuous unless both accepted and broken sets were generated.
    expect(Math.min(accepted, brokenSets)).toBeGreaterThan(0);
  });

  it('never throws on a transition', () => {
    fc.assert(
      fc.property(sets, sets, (before, after) => {
        expect(Array.isArray(checkTransition(before, after))).toBe(true);
      }),
      { seed: SEED, numRuns: RUNS },
    );
  });
});
