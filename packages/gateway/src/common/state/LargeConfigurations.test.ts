/** Large configurations in quick succession, on hosts whose links carry three in a second. */
import { FixedMembership, memberOf, MemoryLink, MemoryNetwork } from '@tanagerdyke/fakes';
import { ErrorKind, ManualClock, Metrics, SeededRandom, ServiceError } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { DecisionLog } from '../DecisionLog.js';
import type { RecordDecoder } from '../services/Services.js';
import { LinkedStore } from './LinkedStore.js';
import { PlatformView } from './PlatformView.js';

const ZONES = ['a', 'b', 'c'];
const NODES = 45;
/** 14 Mbit/s. */
const NODE_BYTES_PER_MS = 1_750;
const STORE_BYTES_PER_MS = 80_000;
const ROUTES = 1_900;
const VERSIONS = 40;
const STORM_INTERVAL_MS = 100;
const SLOWER_STORM_INTERVAL_MS = 800;
/** Time for a version to be in force on all nodes, from the first one on. */
const MAX_SPREAD_MS = 1_500;
/** The same while the store is slow, or does not answer some nodes. */
const MAX_SPREAD_IN_OUTAGE_MS = 2_500;
/** The users' bound from the acknowledgement of a version to its effect on every node. */
const APPLY_MS = 3_000;
const SLOW_CALL_MS = 192;

const decoder: RecordDecoder = {
  isConfiguration: (key) => key === 'config',
  evacuatedZone: () => undefined,
  configuration: (value) => {
    const version = Number(/"version":(\d+)/.exec(value.subarray(0, 40).toString())?.[1]);
    return Result.ok({
      version,
      routes: [],
      services: [],
      requiresKeys: false,
      workspaces: [],
      limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    });
  },
  target: () =>
    Result.err(new ServiceError(ErrorKind.BadRequest, 'unreadable', { remedy: 'none' })),
};

/** A configuration of half a megabyte. */
function configurationOf(version: number, routes: readonly object[]): Buffer {
  return Buffer.from(JSON.stringify({ version, routes }));
}

function createRoutes(): readonly object[] {
  const random = new SeededRandom(1);
  const word = (): string => random.integer(2 ** 32).toString(16);
  return Array.from({ length: ROUTES }, (_each, index) => ({
    name: `route-${word()}-${index}`,
    host: `${word()}.catania.example`,
    pathPrefix: `/v1/${word()}/${word()}`,
    kind: ['streaming', 'idempotent', 'non-idempotent'][index % 3],
    service: `service-${random.integer(5)}`,
    timeoutMs: 1_000 + random.integer(14_000),
    latencyTargetMs: 200 + random.integer(3_000),
    pauseTargetMs: 100 + random.integer(900),
    isResumable: random.integer(2) === 1,
    maxAttempts: 1 + random.integer(3),
    priority: random.integer(4),
  }));
}

describe('a storm of large configurations', () => {
  const routes = createRoutes();
  let clock: ManualClock;
  let operatorStore: LinkedStore;
  let views: PlatformView[];
  /** By node: versions with the time from which they were in force. */
  let history: { readonly version: number; readonly at: number }[][];
  let refused: ReadonlySet<number>;

  beforeEach(async () => {
    clock = new ManualClock();
    refused = new Set();
    history = [];
    const network = new MemoryNetwork(clock, new SeededRandom(1));
    const storeLink = new MemoryLink(clock, STORE_BYTES_PER_MS);
    operatorStore = new LinkedStore(clock, 'operator', storeLink);
    const targetStore = new LinkedStore(clock, 'targets', storeLink);
    operatorStore.write('config', configurationOf(1, []));
    const members = Array.from({ length: NODES }, (_each, index) => ({
      ...memberOf(`n${String(index).padStart(2, '0')}`, `127.0.0.1:${index + 1}`),
      availabilityZone: ZONES[index % ZONES.length] ?? '',
    }));
    views = members.map((self, index) => {
      const link = new MemoryLink(clock, NODE_BYTES_PER_MS);
      const isRefused = (): boolean => refused.has(index);
      const view = new PlatformView({
        clock,
        random: new SeededRandom(index),
        log: new DecisionLog(clock, self.name, () => true),
        metrics: new Metrics(),
        transport: network.join(self.peerAddress, link),
        membership: new FixedMembership(self, members),
        decoder,
        configurationTopic: operatorStore.topicFor(link, isRefused),
        targetTopic: targetStore.topicFor(link, isRefused),
      });
      const inForce: { version: number; at: number }[] = [];
      history.push(inForce);
      view.configuration.onChange(({ version }) => {
        inForce.push({ version, at: clock.now() });
      });
      return view;
    });
    for (const view of views) {
      view.start();
    }
    await clock.advance(3_000);
  });

  afterEach(() => {
    for (const view of views) {
      view.dispose();
    }
  });

  /** Writes the versions; returns the longest time from the first node to the last, of any. */
  async function publish(intervalMs = STORM_INTERVAL_MS): Promise<number> {
    for (let version = 2; version < 2 + VERSIONS; version++) {
      operatorStore.write('config', configurationOf(version, routes));
      await clock.advance(intervalMs);
    }
    await clock.advance(2 * APPLY_MS);
    return Math.max(...Array.from({ length: VERSIONS }, (_each, index) => spreadOf(index + 2)));
  }

  /** Time from the first node that had a version, or a later one, to the last node. */
  function spreadOf(version: number): number {
    const times = history.map(
      (inForce) => inForce.find((each) => each.version >= version)?.at ?? Number.POSITIVE_INFINITY,
    );
    const lastAt = Math.max(...times);
    return Number.isFinite(lastAt) ? lastAt - Math.min(...times) : lastAt;
  }

  it('is in force on the last node within 1.5 s of the first', async () => {
    expect(await publish()).toBeLessThan(MAX_SPREAD_MS);
  });

  it('is in force on the last node within 1.5 s of the first when each version is read', async () => {
    expect(await publish(SLOWER_STORM_INTERVAL_MS)).toBeLessThan(MAX_SPREAD_MS);
  });

  it('is in force on the last node within 2.5 s of the first while the store is slow', async () => {
    operatorStore.callMs = SLOW_CALL_MS;
    expect(await publish()).toBeLessThan(MAX_SPREAD_IN_OUTAGE_MS);
  });

  it('is in force on the last node within 2.5 s of the first while the store refuses many', async () => {
    refused = new Set([...views.keys()].filter((index) => index % 3 === 1));
    expect(await publish()).toBeLessThan(MAX_SPREAD_IN_OUTAGE_MS);
  });
});
