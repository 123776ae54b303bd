/** Guards against a kept load that is no longer that of the requests on the engine. */
import { ManualClock, SeededRandom } from '@tanagerdyke/kernel';
import { describe, expect, it } from 'vitest';
import { type ActiveRequest, ActiveRequestTable } from './ActiveRequestTable.js';
import { computeLoads } from './EngineLoad.js';
import { EngineLoads } from './EngineLoads.js';
import { engineEntry, simpleProfile } from './PlacementFixtures.js';

const ENGINES = 5;
const NODES = ['self', 'n1', 'n2'];
/** Actions by their frequency: most set a request; the last one, which removes a node, is rare. */
const SHARES = [0, 0, 0, 0, 0, 1, 1, 2, 2, 3];

function requestOf(random: SeededRandom, id: string, now: number): ActiveRequest {
  const first = random.integer(ENGINES);
  const targets = random.next() < 0.2 ? [first, (first + 1) % ENGINES] : [first];
  return {
    id,
    targets: targets.map((index) => `e${index}`),
    isMemoryShared: random.next() < 0.1,
    partPrefillMs: 20 + random.integer(200),
    // No two start at the same moment, so that the order of prefill is defined.
    startedAt: now - random.next() * 400,
    dueAt: now + 300,
    isGenerating: random.next() < 0.5,
    pauseTargetMs: 200,
    value: 2,
    memoryTokens: 6_600,
    contextTokens: 5_000,
  };
}

describe('EngineLoads', () => {
  it('has the loads of all requests that count, whatever happens to them and their nodes', () => {
    const clock = new ManualClock();
    const random = new SeededRandom(17);
    const table = new ActiveRequestTable(clock, 'self');
    const loads = new EngineLoads(table);
    const engines = Array.from({ length: ENGINES }, (_each, index) => engineEntry(`e${index}`));
    const actions = [
      (node: string, id: string) => {
        table.set(node, requestOf(random, id, clock.now()));
      },
      (node: string, id: string) => {
        table.markGenerating(node, id);
      },
      (node: string, id: string) => {
        table.remove(node, id);
      },
      (node: string, id: string) => {
        table.retain(node, new Set([id, '1', '2', '3']));
      },
      (node: string) => {
        table.removeNode(node);
      },
    ];
    for (let step = 0; step < 4_000; step++) {
      const node = NODES[random.integer(NODES.length)] ?? '';
      const index = random.integer(50) === 0 ? 4 : (SHARES[random.integer(SHARES.length)] ?? 0);
      actions[index]?.(node, String(random.integer(40)));
      // A node without an update for 2.5 s no longer counts; the table notices within 50 ms.
      clock.freeze(random.integer(100) === 0 ? 2_600 : 51);
      const now = clock.now();
      const slowdownOf = (id: string): number => (id === 'e2' && step % 500 > 250 ? 2 : 1);
      const kept = engines.map((each) =>
        loads.loadOf(simpleProfile, each, now, slowdownOf(each.id)),
      );
      const computed = computeLoads(simpleProfile, engines, table.requests, now, slowdownOf);
      expect(kept.map(summaryOf)).toEqual(computed.map(summaryOf));
    }
  });
});

/** A load without the order of its requests, which has no meaning. */
function summaryOf(load: ReturnType<EngineLoads['loadOf']>): unknown {
  const ids = load.primaryRequests.map(({ id, startedAt }) => `${id} ${startedAt}`).sort();
  return { ...load, primaryRequests: ids };
}
