/**
 * Compares methods of disseminating one update to all nodes, on a manual clock: piggybacking on the
 * probes of the real membership, random gossip, and eager push over a random regular overlay of low
 * degree (the topology of the Streamr Network paper).
 */
import { MemoryNetwork, type MemoryTransport, memberOf } from '@tanagerdyke/fakes';
import { ManualClock, type RandomSource, SeededRandom, TimeLine } from '@tanagerdyke/kernel';
import { SwimMembership } from '@tanagerdyke/mesh';
import { range } from './CapacityObjects.js';

/** The dissemination methods that are compared. */
export enum DisseminationKind {
  Piggyback = 'piggyback',
  RandomGossip = 'random-gossip',
  RegularOverlay = 'regular-overlay',
  /** Overlay and piggybacking together, as the real membership uses them. */
  Both = 'both',
}

/** Parameters of one simulation. */
export interface DisseminationSetup {
  readonly kind: DisseminationKind;
  readonly nodes: number;
  /** Share of datagrams that the network drops. */
  readonly loss: number;
}

/** Parameters and results of one simulation. */
export interface DisseminationResult extends DisseminationSetup {
  /** Share of the nodes that received the update within the horizon. */
  readonly reached: number;
  /** Time until the last of those nodes received it; the horizon if the membership misses a node. */
  readonly lastMs: number;
  /**
   * Bytes that a node sends for this update: an average of the bytes sent for the push methods, and
   * calculated from the number of sends per update where the membership piggybacks it.
   */
  readonly bytesPerNode: number;
}

/** One-way delay of a datagram. */
const NETWORK_DELAY_MS = 4;
/** Time after publishing at which a simulation ends. */
const HORIZON_MS = 20_000;
const STEP_MS = 4;
/** Time for all members to discover each other before the update is published. */
const CONVERGENCE_MS = 15_000;
/** Random nodes to which a node sends the update in each gossip round. */
const GOSSIP_FANOUT = 3;
const GOSSIP_ROUND_MS = 100;
/** Random cycles whose union is the overlay; a node has two neighbours in each. */
const OVERLAY_CYCLES = 2;
/** Configuration offset that the update announces. */
const UPDATE_OFFSET = 1;
/** Times a member piggybacks an update per doubling of the member count, as in `GossipQueue`. */
const SENDS_PER_DOUBLING = 4;
/** Encoded size of an update about a member that the receiver knows, with its separator. */
const PIGGYBACKED_UPDATE_BYTES = 59;
/** The same update as a message of its own. */
const UPDATE_MESSAGE = JSON.stringify({
  jsonrpc: '2.0',
  method: 'mesh.news',
  params: ['entry-000', 1_700_000_000_000, 0, 12, 0, UPDATE_OFFSET, '0123456789abcdef', 1],
});

/** Simulates one setup and measures reach, time and bytes. */
export function measureDissemination(
  setup: DisseminationSetup,
  seed: number,
): Promise<DisseminationResult> {
  return MEASUREMENTS[setup.kind](setup, seed);
}

type Measurement = (setup: DisseminationSetup, seed: number) => Promise<DisseminationResult>;

const MEASUREMENTS: Record<DisseminationKind, Measurement> = {
  [DisseminationKind.Piggyback]: (setup, seed) => measureMembership(setup, seed, false),
  [DisseminationKind.Both]: (setup, seed) => measureMembership(setup, seed, true),
  [DisseminationKind.RandomGossip]: (setup, seed) =>
    measurePush(setup, seed, createGossipForwarder),
  [DisseminationKind.RegularOverlay]: (setup, seed) =>
    measurePush(setup, seed, createOverlayForwarder),
};

function createNetwork(clock: ManualClock, seed: number): MemoryNetwork {
  const network = new MemoryNetwork(clock, new SeededRandom(seed));
  network.delayMs = NETWORK_DELAY_MS;
  return network;
}

function addressOf(index: number): string {
  return `127.0.0.1:${index + 1}`;
}

async function measureMembership(
  setup: DisseminationSetup,
  seed: number,
  isEagerPushEnabled: boolean,
): Promise<DisseminationResult> {
  const clock = new ManualClock();
  const network = createNetwork(clock, seed);
  const members = range(setup.nodes).map((index) =>
    createMember(network, index, seed, isEagerPushEnabled),
  );
  for (const member of members) {
    member.start();
    await clock.advance(1);
  }
  await clock.advance(CONVERGENCE_MS);
  network.loss = setup.loss;
  const [source] = members;
  const startedAt = clock.now();
  source?.publish({ configurationOffset: UPDATE_OFFSET });
  const name = source?.self.name ?? '';
  const hasReceived = (member: SwimMembership): boolean =>
    member.find(name)?.state.configurationOffset === UPDATE_OFFSET;
  let receivedCount = 0;
  while (receivedCount < setup.nodes && clock.now() - startedAt < HORIZON_MS) {
    await clock.advance(STEP_MS);
    receivedCount = members.filter(hasReceived).length;
  }
  const sendCount = SENDS_PER_DOUBLING * Math.ceil(Math.log2(setup.nodes + 1));
  const pushedBytes = isEagerPushEnabled
    ? OVERLAY_CYCLES * 2 * Buffer.byteLength(UPDATE_MESSAGE)
    : 0;
  return {
    ...setup,
    reached: receivedCount / setup.nodes,
    lastMs: clock.now() - startedAt,
    bytesPerNode: sendCount * PIGGYBACKED_UPDATE_BYTES + pushedBytes,
  };
}

function createMember(
  network: MemoryNetwork,
  index: number,
  seed: number,
  isEagerPushEnabled: boolean,
): SwimMembership {
  const { clock } = network;
  const self = memberOf(`entry-${index}`, addressOf(index));
  return new SwimMembership({
    clock,
    random: new SeededRandom(seed + index),
    transport: network.join(self.peerAddress),
    timeLine: new TimeLine(clock, self.name),
    self,
    seeds: [addressOf(0)],
    isEagerPushEnabled,
  });
}

/** Forwards the update from a node that received it for the first time. */
type Forward = (node: MemoryTransport) => void;
type ForwardFactory = (network: MemoryNetwork, nodeCount: number) => Forward;

async function measurePush(
  setup: DisseminationSetup,
  seed: number,
  create: ForwardFactory,
): Promise<DisseminationResult> {
  const clock = new ManualClock();
  const network = createNetwork(clock, seed);
  network.loss = setup.loss;
  const forward = create(network, setup.nodes);
  const receivedAt = new Map<string, number>();
  const transports = range(setup.nodes).map((index) => network.join(addressOf(index)));
  const receive = (transport: MemoryTransport): void => {
    if (!receivedAt.has(transport.address)) {
      receivedAt.set(transport.address, clock.now());
      forward(transport);
    }
  };
  for (const transport of transports) {
    transport.onDatagram(() => {
      receive(transport);
    });
  }
  const [source] = transports;
  if (source !== undefined) {
    receive(source);
  }
  await clock.advance(HORIZON_MS);
  const bytes = transports.reduce((total, { bytesSent }) => total + bytesSent, 0);
  return {
    ...setup,
    reached: receivedAt.size / setup.nodes,
    lastMs: Math.max(...receivedAt.values()),
    bytesPerNode: bytes / setup.nodes,
  };
}

/** Sends the update to random nodes in a number of rounds logarithmic in the node count. */
function createGossipForwarder({ clock, random }: MemoryNetwork, nodeCount: number): Forward {
  const rounds = Math.ceil(Math.log2(nodeCount + 1));
  return (node) => {
    for (const round of range(rounds)) {
      clock.schedule(round * GOSSIP_ROUND_MS, () => {
        for (let sent = 0; sent < GOSSIP_FANOUT; sent++) {
          node.sendDatagram(addressOf(random.integer(nodeCount)), UPDATE_MESSAGE);
        }
      });
    }
  };
}

/**
 * Sends the update immediately to all neighbours in an overlay that is the union of random cycles,
 * a regular graph of degree four.
 */
function createOverlayForwarder({ random }: MemoryNetwork, nodeCount: number): Forward {
  const neighbours = new Map<string, Set<string>>();
  for (const order of range(OVERLAY_CYCLES).map(() => shuffle(nodeCount, random))) {
    for (const [position, index] of order.entries()) {
      const next = addressOf(order[(position + 1) % nodeCount] ?? 0);
      addNeighbour(neighbours, addressOf(index), next);
      addNeighbour(neighbours, next, addressOf(index));
    }
  }
  return (node) => {
    for (const neighbour of neighbours.get(node.address) ?? []) {
      node.sendDatagram(neighbour, UPDATE_MESSAGE);
    }
  };
}

function addNeighbour(neighbours: Map<string, Set<string>>, from: string, to: string): void {
  const addresses = neighbours.get(from) ?? new Set<string>();
  neighbours.set(from, addresses.add(to));
}

function shuffle(nodeCount: number, random: RandomSource): readonly number[] {
  const keyed = range(nodeCount).map((index) => ({ index, key: random.next() }));
  return keyed.sort((a, b) => a.key - b.key).map(({ index }) => index);
}
