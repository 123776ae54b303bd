/** Generates configurations of any size for capacity runs. */
import { createHash } from 'node:crypto';
import {
  type ConfigurationObject,
  ObjectKind,
  objectSchema,
  TargetKind,
  type Workspace,
} from '@tanagerdyke/configuration';

/** Adapter name under which a capacity run registers its in-memory engines. */
export const ENGINE_ADAPTER = 'memory';
/** Adapter name under which a capacity run registers its in-memory service. */
export const SERVICE_ADAPTER = 'memory';
export const SERVICE_TARGET = 'reorder-service';
const ENGINE_MEMORY_TOKENS = 2_000_000;
const PREFILL_TOKENS_PER_SECOND = 40_000;
const DECODE_TOKENS_PER_SECOND = 50;
const MAX_PROMPT_TOKENS = 1_000_000;
const ADDRESS_BYTE = 256;

/** Number of objects of each kind in a generated configuration. */
export interface ConfigurationSize {
  readonly workspaces: number;
  readonly servers: number;
  readonly models: number;
  readonly regions: number;
  readonly availabilityZones: number;
  readonly claimShards: number;
}

/** Planned size of the system in two years. */
export const PLANNED_SIZE: ConfigurationSize = {
  workspaces: 3_600,
  servers: 700,
  models: 7,
  regions: 3,
  availabilityZones: 8,
  claimShards: 16,
};

/** The availability zone of the host or node with this index; indices take the zones in turn. */
export function zoneName(size: ConfigurationSize, index: number): string {
  return `zone-${index % size.availabilityZones}`;
}

/** The region of the availability zone of the host or node with this index. */
export function regionName(size: ConfigurationSize, index: number): string {
  return `region-${(index % size.availabilityZones) % size.regions}`;
}

/** Creates a workspace; each `revision` gives it another token digest. */
export function createWorkspace(index: number, modelCount: number, revision: number): Workspace {
  const name = `workspace-${index}`;
  return {
    kind: ObjectKind.Workspace,
    name,
    tokenDigest: createHash('sha256').update(`${name}/${revision}`).digest('hex'),
    weight: 1,
    routes: [`route-${index % modelCount}`, 'reorders'],
  };
}

/** Creates all objects of a configuration. */
export function createConfigurationObjects(
  size: ConfigurationSize,
): readonly ConfigurationObject[] {
  const models = range(size.models);
  const objects = [
    { kind: ObjectKind.System, name: 'system', claimShards: size.claimShards },
    ...models.map((index) => ({
      kind: ObjectKind.Model,
      name: `model-${index}`,
      maxPromptTokens: MAX_PROMPT_TOKENS,
    })),
    ...models.map((index) => ({
      kind: ObjectKind.Version,
      name: `version-${index}`,
      model: `model-${index}`,
    })),
    ...models.map((index) => ({
      kind: ObjectKind.Route,
      name: `route-${index}`,
      versions: [{ version: `version-${index}`, weight: 100 }],
    })),
    { kind: ObjectKind.Route, name: 'reorders', services: [SERVICE_TARGET], path: '/orders' },
    ...range(size.servers).map((index) => createEngineHost(size, index)),
    createServiceHost(size),
    ...range(size.workspaces).map((index) => createWorkspace(index, size.models, 0)),
  ];
  return objects.map((object) => objectSchema.parse(object));
}

/** The integers from 0 to `count - 1`. */
export function range(count: number): readonly number[] {
  return Array.from({ length: count }, (_, index) => index);
}

function createEngineHost(size: ConfigurationSize, index: number): unknown {
  return {
    kind: ObjectKind.Host,
    name: `engine-host-${index}`,
    region: regionName(size, index),
    availabilityZone: zoneName(size, index),
    targets: [
      {
        name: `engine-${index}`,
        kind: TargetKind.Engine,
        adapter: ENGINE_ADAPTER,
        address: `http://10.1.${Math.floor(index / ADDRESS_BYTE)}.${index % ADDRESS_BYTE}:8000`,
        versions: [`version-${index % size.models}`],
        memoryTokens: ENGINE_MEMORY_TOKENS,
        prefillTokensPerSecond: PREFILL_TOKENS_PER_SECOND,
        decodeTokensPerSecond: DECODE_TOKENS_PER_SECOND,
        checksFencing: true,
      },
    ],
  };
}

function createServiceHost(size: ConfigurationSize): unknown {
  return {
    kind: ObjectKind.Host,
    name: 'service-host',
    region: regionName(size, 0),
    availabilityZone: zoneName(size, 0),
    targets: [
      {
        name: SERVICE_TARGET,
        kind: TargetKind.Service,
        adapter: SERVICE_ADAPTER,
        address: 'http://10.2.0.1:8000',
      },
    ],
  };
}
