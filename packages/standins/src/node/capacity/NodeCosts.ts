/**
 * Measures the costs of a node in a group of a given size: idle traffic and processor time, memory,
 * the time for a configuration change and for the failure of a node to reach all nodes, and the
 * coordination cost of requests.
 */
import type { CompletionRequest } from '@tanagerdyke/serving';
import { MemberStatus } from '@tanagerdyke/mesh';
import type { SeededRandom } from '@tanagerdyke/kernel';
import { v7 as uuidv7 } from 'uuid';
import {
  type ConfigurationSize,
  PLANNED_SIZE,
  range,
  SERVICE_TARGET,
  createWorkspace,
} from '../../common/capacity/CapacityObjects.js';
import { MemoryEngine } from '../../common/capacity/MemoryEngine.js';
import { median } from '../../common/capacity/Series.js';
import { type GroupMember, NodeGroup } from './NodeGroup.js';

/** Time for the group to become idle after its start. */
const CONVERGENCE_MS = 4_000;
const IDLE_DURATION_MS = 6_000;
const LOAD_DURATION_MS = 6_000;
const CHANGE_COUNT = 3;
const MS_PER_SECOND = 1_000;
const US_PER_MS = 1_000;
const BYTES_PER_MB = 1_048_576;
const SERVERS_PER_NODE = 2;
const WORKSPACE_COUNT = 10;
/**
 * Limits of the request rate per node and in total; the total keeps the one process below
 * saturation.
 */
const MAX_REQUESTS_PER_SECOND_PER_NODE = 13;
const MAX_REQUESTS_PER_SECOND_TOTAL = 260;
/** Share of requests that are at-most-once calls. */
const AT_MOST_ONCE_SHARE = 0.05;
const DEADLINE_MS = 20_000;
const PROMPT_TOKENS = 2_000;
const OUTPUT_TOKENS = 16;

/** Average use of resources over a period, per node and second. */
export interface NodeUsage {
  readonly bytes: number;
  readonly messages: number;
  readonly logBytes: number;
  readonly logAppends: number;
  readonly logReads: number;
  readonly enginePolls: number;
  /** Processor milliseconds per second. */
  readonly cpuMs: number;
}

/** The costs measured with one number of nodes. */
export interface NodeCosts {
  readonly nodes: number;
  readonly idle: NodeUsage;
  readonly loaded: NodeUsage;
  readonly requests: number;
  readonly failures: number;
  /** Bytes between peers and processor milliseconds that one request adds, over all nodes. */
  readonly requestBytes: number;
  readonly requestCpuMs: number;
  /** Resident memory of the process that runs all nodes. */
  readonly memoryMb: number;
  /** Time for a configuration change to be in force on all nodes. */
  readonly changeMs: number;
  /** Time for all other nodes to mark a failed node as dead. */
  readonly deathMs: number;
  /** Bytes that all nodes send while one more joins. */
  readonly joinBytes: number;
}

/** Starts a group of this many nodes and measures its costs. */
export async function measureNodes(nodes: number, random: SeededRandom): Promise<NodeCosts> {
  const group = await NodeGroup.start(nodes, configurationSizeFor(nodes));
  await group.clock.sleep(CONVERGENCE_MS);
  const idle = await measureUsage(group, IDLE_DURATION_MS, () => Promise.resolve());
  globalThis.gc?.();
  const memoryMb = process.memoryUsage().rss / BYTES_PER_MB;
  const changeTimesMs: number[] = [];
  for (const change of range(CHANGE_COUNT)) {
    changeTimesMs.push(await measureChangeMs(group, change + 1));
  }
  const counts = { requests: 0, failures: 0 };
  const loaded = await measureUsage(group, LOAD_DURATION_MS, () => runLoad(group, random, counts));
  const deathMs = await measureDeathMs(group);
  const joinBytes = await measureJoinBytes(group);
  group.dispose();
  return {
    nodes,
    idle,
    loaded,
    ...counts,
    requestBytes: (loaded.bytes - idle.bytes) / requestsPerSecondPerNode(nodes),
    requestCpuMs: (loaded.cpuMs - idle.cpuMs) / requestsPerSecondPerNode(nodes),
    memoryMb,
    changeMs: median(changeTimesMs),
    deathMs,
    joinBytes,
  };
}

function requestsPerSecondPerNode(nodes: number): number {
  return Math.min(MAX_REQUESTS_PER_SECOND_PER_NODE, MAX_REQUESTS_PER_SECOND_TOTAL / nodes);
}

function configurationSizeFor(nodes: number): ConfigurationSize {
  const servers = Math.max(PLANNED_SIZE.models, nodes * SERVERS_PER_NODE);
  return { ...PLANNED_SIZE, workspaces: WORKSPACE_COUNT, servers, claimShards: 4 };
}

async function measureUsage(
  group: NodeGroup,
  durationMs: number,
  action: () => Promise<void>,
): Promise<NodeUsage> {
  const before = group.traffic;
  const pollsBefore = MemoryEngine.stateRequests;
  const startedAt = group.clock.now();
  const cpuBefore = process.cpuUsage();
  await Promise.all([action(), group.clock.sleep(durationMs)]);
  const cpuUsed = process.cpuUsage(cpuBefore);
  const seconds = (group.clock.now() - startedAt) / MS_PER_SECOND;
  const after = group.traffic;
  const perNode = (total: number): number => total / seconds / group.members.length;
  return {
    bytes: perNode(after.bytes - before.bytes),
    messages: perNode(after.messages - before.messages),
    logBytes: perNode(after.logBytes - before.logBytes),
    logAppends: perNode(after.logAppends - before.logAppends),
    logReads: perNode(after.logReads - before.logReads),
    enginePolls: perNode(MemoryEngine.stateRequests - pollsBefore),
    cpuMs: perNode((cpuUsed.user + cpuUsed.system) / US_PER_MS),
  };
}

/** Time from publishing a change until it is in force on all nodes. */
async function measureChangeMs(group: NodeGroup, revision: number): Promise<number> {
  const [publisher] = group.members;
  if (publisher === undefined) {
    return 0;
  }
  const base = publisher.node.configuration.inForce.offset;
  const upserts = [createWorkspace(0, PLANNED_SIZE.models, revision)];
  const allInForce = group.members.map(({ node }) => waitForOffsetAfter(node, base));
  const startedAt = group.clock.now();
  await publisher.node.publisher.publish(`change-${revision}`, { upserts, removals: [] }, base);
  await Promise.all(allInForce);
  return group.clock.now() - startedAt;
}

function waitForOffsetAfter(node: GroupMember['node'], base: number): Promise<void> {
  return new Promise((resolve) => {
    const listener = node.configuration.onChange(({ offset }) => {
      if (offset > base) {
        listener.dispose();
        resolve();
      }
    });
  });
}

/** Time from the failure of a node until all other nodes have marked it as dead. */
async function measureDeathMs(group: NodeGroup): Promise<number> {
  const failed = group.members.at(-1);
  if (failed === undefined) {
    return 0;
  }
  const { name } = failed.node.membership.self;
  const startedAt = group.clock.now();
  group.kill(failed);
  await group.waitUntil(() =>
    group.members.every(({ node }) => node.membership.find(name)?.status === MemberStatus.Dead),
  );
  return group.clock.now() - startedAt;
}

/**
 * Bytes that all nodes send from the start of one more node until that node sees all members live;
 * includes their idle traffic in that time.
 */
async function measureJoinBytes(group: NodeGroup): Promise<number> {
  const before = group.traffic.bytes;
  const member = await group.add();
  await group.waitUntil(() => member.node.membership.live.length >= group.members.length);
  return group.traffic.bytes - before;
}

async function runLoad(
  group: NodeGroup,
  random: SeededRandom,
  counts: { requests: number; failures: number },
): Promise<void> {
  const { clock } = group;
  const end = clock.now() + LOAD_DURATION_MS;
  const pending: Promise<void>[] = [];
  const gapMs =
    MS_PER_SECOND / requestsPerSecondPerNode(group.members.length) / group.members.length;
  let dueAt = clock.now();
  while (clock.now() < end) {
    while (dueAt <= clock.now()) {
      const member = group.members[random.integer(group.members.length)];
      dueAt += -Math.log(1 - random.next()) * gapMs;
      if (member !== undefined) {
        pending.push(sendRequest(member, random, counts));
      }
    }
    await clock.sleep(Math.max(1, dueAt - clock.now()));
  }
  await Promise.all(pending);
}

async function sendRequest(
  member: GroupMember,
  random: SeededRandom,
  counts: { requests: number; failures: number },
): Promise<void> {
  const isAtMostOnce = random.next() < AT_MOST_ONCE_SHARE;
  const isOk = await (isAtMostOnce ? callAtMostOnce(member) : complete(member, random));
  counts.requests++;
  counts.failures += isOk ? 0 : 1;
}

async function complete({ node }: GroupMember, random: SeededRandom): Promise<boolean> {
  const { set } = node.configuration;
  const route = set.route(`route-${random.integer(PLANNED_SIZE.models)}`);
  const workspace = set.workspace(`workspace-${random.integer(WORKSPACE_COUNT)}`);
  if (route === undefined || workspace === undefined) {
    return false;
  }
  const request: CompletionRequest = {
    id: random.identifier(),
    workspace,
    route,
    prompt: [{ digest: random.identifier(), tokens: PROMPT_TOKENS }],
    promptTokens: PROMPT_TOKENS,
    maxTokens: OUTPUT_TOKENS,
    deadline: node.clock.now() + DEADLINE_MS,
  };
  let isOk = false;
  for await (const frame of node.completions.complete(request, new AbortController().signal)) {
    isOk = frame.isOk && frame.value.isLast;
  }
  return isOk;
}

async function callAtMostOnce({ node }: GroupMember): Promise<boolean> {
  const hostedTarget = node.directory.find(SERVICE_TARGET);
  const service = hostedTarget && node.directory.service(hostedTarget.target);
  if (service?.isOk !== true) {
    return false;
  }
  const answer = await node.atMostOnceClient.call({
    key: `workspace-0/${uuidv7()}`,
    path: '/orders',
    body: '{"item":"ricotta","quantity":4}',
    bodyDigest: 'd'.repeat(64),
    service: service.value,
    offersLookUp: false,
    deadline: node.clock.now() + DEADLINE_MS,
  });
  return answer.isOk;
}
