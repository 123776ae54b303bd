import { FixedMembership, memberOf, MemoryNetwork } from '@tanagerdyke/fakes';
import { ManualClock, SeededRandom } from '@tanagerdyke/kernel';
import { describe, expect, it } from 'vitest';
import { allowedRegionsOf, filterCandidates, isRegionAllowed } from './AllowedRegions.js';
import { CellDirectory } from './CellDirectory.js';
import { engineEntry, shortPrompt, simpleProfile } from './PlacementFixtures.js';
import { PlacementNode } from './PlacementNode.js';
import { RefusedPrompt } from './PlacementDecision.js';

const regionByZone = new Map([
  ['a', 'north'],
  ['b', 'south'],
]);
const targets = ['a', 'b', 'of no region'].map((availabilityZone) => ({
  ...engineEntry(availabilityZone),
  availabilityZone,
}));

function zonesFor(allowed: readonly string[] | undefined): readonly string[] {
  return filterCandidates(targets, allowed, regionByZone).map((each) => each.availabilityZone);
}

describe('the regions that a request may reach', () => {
  it.each([
    [undefined, undefined, undefined],
    [['north'], undefined, ['north']],
    [undefined, ['south'], ['south']],
    [['north', 'south'], ['south', 'east'], ['south']],
    [['north'], ['south'], []],
  ])('with %j of the route and %j of the workspace are %j', (ofRoute, ofWorkspace, expected) => {
    const allowed = allowedRegionsOf({ allowedRegions: ofRoute }, { allowedRegions: ofWorkspace });
    expect(allowed).toEqual(expected);
  });

  it('are those of the route for a caller without a workspace', () => {
    expect(allowedRegionsOf({ allowedRegions: ['north'] }, undefined)).toEqual(['north']);
  });

  it('exclude targets elsewhere, and those whose region is unknown', () => {
    expect(zonesFor(['north'])).toEqual(['a']);
    expect(zonesFor([])).toEqual([]);
    expect(zonesFor(undefined)).toEqual(['a', 'b', 'of no region']);
  });

  // More engines than a request to a coordinator can exclude, in one cell and in a cell for each zone.
  it.each([30, 40])(
    'hold for prompts that a coordinator places on 2 x %d engines',
    async (count) => {
      const clock = new ManualClock();
      const network = new MemoryNetwork(clock, new SeededRandom(1));
      const members = ['n0', 'n1', 'n2'].map((name, index) =>
        memberOf(name, `127.0.0.1:${index + 1}`),
      );
      const engines = ['a', 'b'].flatMap((zone) =>
        Array.from({ length: count }, (_each, index) => ({
          ...engineEntry(`${zone}${index}`),
          availabilityZone: zone,
        })),
      );
      const nodes = members.map((self) => {
        const node = new PlacementNode(self, members, network, engines);
        for (const [zone, region] of regionByZone) {
          node.regionByZone.set(zone, region);
        }
        return node;
      });
      const cell = { service: 'm', availabilityZone: undefined };
      const [self = memberOf('n0', '127.0.0.1:1')] = members;
      const [first] = new CellDirectory(new FixedMembership(self, members)).coordinatorsOf(cell);
      const entries = nodes.filter((_node, index) => members[index]?.name !== first?.name);
      const prompt = {
        ...{ ...shortPrompt, service: 'm', profile: simpleProfile, workspace: 'w' },
        ...{ dueAt: 300, deadlineAt: 10_000, isReturning: false, excluded: new Set<string>() },
        allowedRegions: ['south'],
      };
      const { signal } = new AbortController();
      const placements = Array.from({ length: 10 }, () =>
        entries.map(({ prompts }) => prompts.place(prompt, 2_500, signal)),
      ).flat();
      await clock.advance(400);
      const placed = await Promise.all(placements);
      const ids = placed.map((each) =>
        each instanceof RefusedPrompt ? 'refused' : each.targets[0].id,
      );
      expect(new Set(ids.map((id) => id.slice(0, 1)))).toEqual(new Set(['b']));
    },
  );

  it('exclude nodes whose region is unknown', () => {
    expect(isRegionAllowed(undefined, ['north'])).toBe(false);
    expect(isRegionAllowed(undefined, undefined)).toBe(true);
  });
});
