/**
 * The plan of a fleet for a run: availability zones, daemons, engines, services and workspaces, and
 * the configuration objects that describe them.
 */
import { createHash } from 'node:crypto';
import {
  type ConfigurationObject,
  objectSchema,
  ObjectKind,
  TargetKind,
} from '@tanagerdyke/configuration';
import { TargetRole } from '@tanagerdyke/contracts';
import { DEFAULT_PROFILE, type EngineProfile } from './EngineEmulator.js';

/** Size and composition of a fleet. */
export interface FleetSize {
  readonly region: string;
  readonly availabilityZones: readonly string[];
  readonly daemons: number;
  readonly engines: number;
  readonly services: number;
  readonly workspaces: readonly string[];
  /** Placement policy of the completion route. */
  readonly policy: string;
  /** Further placement policies, each on a route of its own. */
  readonly comparedPolicies?: readonly string[];
  /** Values of all engines that differ from the default profile. */
  readonly profile: Partial<EngineProfile>;
  /** Fraction of engines with the role for long prompts. */
  readonly longShare: number;
  /** Fraction of engines with the role for short prompts. */
  readonly shortShare: number;
}

export const DEFAULT_FLEET: FleetSize = {
  region: 'sicilia-est',
  availabilityZones: ['catania-porto', 'acireale', 'siracusa'],
  daemons: 6,
  engines: 6,
  services: 2,
  workspaces: ['pasticceria-etna', 'audit-desk'],
  policy: 'slowdown',
  profile: {},
  longShare: 0.34,
  shortShare: 0,
};

export const MODEL = 'tanager-large';
export const VERSION = 'tanager-large-1';
export const COMPLETION_ROUTE = 'answers';
export const SERVICE_ROUTE = 'reorders';
export const SERVICE_PATH = '/orders';
export const MAX_PROMPT_TOKENS = 1_000_000;
const MS_PER_SECOND = 1_000;
const ROUTE_DEADLINE_MS = 60_000;

/** Ports on which the processes of a fleet listen. */
export interface FleetPorts {
  readonly log: number;
  readonly hostList: number;
  readonly weightStore: number;
  readonly engines: readonly number[];
  readonly services: readonly number[];
  /** Ports of the daemons for callers and operators. */
  readonly callers: readonly number[];
  /** Ports of the daemons for their peers; same order. */
  readonly peers: readonly number[];
}

/** The name of the route that uses a compared policy. */
export function routeOf(policy: string): string {
  return `${COMPLETION_ROUTE}-${policy}`;
}

/** The access token of a workspace; only its digest is in the configuration. */
export function tokenOf(workspace: string): string {
  return `token-of-${workspace}-for-tests`;
}

/** The availability zone of the n-th daemon, engine or service, assigned round-robin. */
export function zoneOf(size: FleetSize, index: number): string {
  return size.availabilityZones[index % size.availabilityZones.length] ?? '';
}

/** The role of the n-th engine. The shares hold within each availability zone. */
export function roleOf(size: FleetSize, index: number): TargetRole {
  const position =
    (Math.floor(index / size.availabilityZones.length) + 0.5) /
    Math.ceil(size.engines / size.availabilityZones.length);
  if (position > 1 - size.longShare) {
    return TargetRole.Long;
  }
  return position < size.shortShare ? TargetRole.Short : TargetRole.General;
}

/** The configuration objects that describe a fleet. */
export function planObjects(size: FleetSize, ports: FleetPorts): readonly ConfigurationObject[] {
  const profile = { ...DEFAULT_PROFILE, ...size.profile };
  const engines = ports.engines.map((port, index) => ({
    kind: ObjectKind.Host,
    name: `engine-host-${index}`,
    region: size.region,
    availabilityZone: zoneOf(size, index),
    targets: [
      {
        name: `engine-${index}`,
        kind: TargetKind.Engine,
        adapter: 'http',
        address: `http://127.0.0.1:${port}`,
        versions: [VERSION],
        role: roleOf(size, index),
        memoryTokens: profile.memoryTokens,
        prefillTokensPerSecond: profile.prefillTokensPerSecond * profile.timeScale,
        decodeTokensPerSecond: (MS_PER_SECOND / profile.decodeStepMs) * profile.timeScale,
        checksFencing: profile.checksFencing,
      },
    ],
  }));
  const services = ports.services.map((port, index) => ({
    kind: ObjectKind.Host,
    name: `service-host-${index}`,
    region: size.region,
    availabilityZone: zoneOf(size, index),
    targets: [
      {
        name: `service-${index}`,
        kind: TargetKind.Service,
        adapter: 'http',
        address: `http://127.0.0.1:${port}`,
      },
    ],
  }));
  const compared = size.comparedPolicies ?? [];
  const comparedRoutes = compared.map((policy) => ({
    kind: ObjectKind.Route,
    name: routeOf(policy),
    versions: [{ version: VERSION, weight: 100 }],
    policy,
    deadlineMs: ROUTE_DEADLINE_MS,
  }));
  const workspaces = size.workspaces.map((name) => ({
    kind: ObjectKind.Workspace,
    name,
    tokenDigest: createHash('sha256').update(tokenOf(name)).digest('hex'),
    routes: [COMPLETION_ROUTE, SERVICE_ROUTE, ...compared.map(routeOf)],
  }));
  const sharedObjects = [
    { kind: ObjectKind.System, name: 'system' },
    { kind: ObjectKind.Model, name: MODEL, maxPromptTokens: MAX_PROMPT_TOKENS },
    { kind: ObjectKind.Version, name: VERSION, model: MODEL },
    {
      kind: ObjectKind.Route,
      name: COMPLETION_ROUTE,
      versions: [{ version: VERSION, weight: 100 }],
      policy: size.policy,
      deadlineMs: ROUTE_DEADLINE_MS,
    },
    {
      kind: ObjectKind.Route,
      name: SERVICE_ROUTE,
      services: ports.services.map((_, index) => `service-${index}`),
      path: SERVICE_PATH,
    },
  ];
  return [...sharedObjects, ...comparedRoutes, ...workspaces, ...engines, ...services].map(
    (object) => objectSchema.parse(object),
  );
}
