/** Model of the sites of the two users, for measurements. */
import type { FleetSize } from '../FleetPlan.js';
import { DEFAULT_FLEET } from '../FleetPlan.js';

/** The users, by their names on the command line. */
export enum User {
  Catania = 'catania',
  Rancho = 'rancho',
}

/** Network and default policy of one site. Delays are one-way, in milliseconds of engine time. */
export interface UserSite {
  readonly user: User;
  readonly region: string;
  readonly availabilityZones: readonly string[];
  readonly zoneDelayMs: number;
  readonly zoneJitterMs: number;
  readonly zoneLoss: number;
  readonly callerDelayMs: number;
  readonly policy: string;
}

export const SITES: Record<User, UserSite> = {
  [User.Catania]: {
    user: User.Catania,
    region: 'sicilia-est',
    availabilityZones: ['catania-porto', 'acireale', 'siracusa'],
    zoneDelayMs: 3.5,
    zoneJitterMs: 1,
    zoneLoss: 0.001,
    callerDelayMs: 1,
    policy: 'slowdown',
  },
  [User.Rancho]: {
    user: User.Rancho,
    region: 'pt-norte',
    availabilityZones: ['braga-a', 'porto-b', 'viana-c'],
    zoneDelayMs: 4,
    zoneJitterMs: 1,
    zoneLoss: 0.001,
    callerDelayMs: 3,
    policy: 'first-token',
  },
};

const ENGINE_COUNT = 18;
const DAEMON_COUNT = 6;
/** Workspaces in order of decreasing share of the requests. */
export const WORKSPACES = Array.from({ length: 10 }, (_, index) => `workspace-${index}`);
/** Share of the requests of each workspace, in percent. */
export const WORKSPACE_SHARES = [30, 20, 14, 8, 7, 6, 5, 4, 3, 3];

/** The fleet size of a site, with a route for each compared policy. */
export function fleetSizeOf(
  site: UserSite,
  policies: readonly string[],
  timeScale: number,
): FleetSize {
  return {
    ...DEFAULT_FLEET,
    region: site.region,
    availabilityZones: site.availabilityZones,
    daemons: DAEMON_COUNT,
    engines: ENGINE_COUNT,
    workspaces: WORKSPACES,
    policy: site.policy,
    comparedPolicies: policies,
    profile: { timeScale },
    longShare: 0,
  };
}
