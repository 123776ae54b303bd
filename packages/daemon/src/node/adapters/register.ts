/** The adapters included in the daemon, registered under the names that settings use. */
import { Registry } from '@tanagerdyke/kernel';
import type {
  Engine,
  HostList,
  PlatformLog,
  Service,
  TargetAdapters,
  TargetAddress,
  WeightStore,
} from '@tanagerdyke/contracts';
import { HttpEngine } from './HttpEngine.js';
import { HttpHostList, HttpPlatformLog, HttpWeightStore } from './HttpPlatform.js';
import { HttpService } from './HttpService.js';

/** The platform services that a node uses. */
export interface Platform {
  readonly log: PlatformLog;
  readonly hostList: HostList;
  readonly weightStore: WeightStore;
}

/** The URLs of the platform services. */
export interface PlatformAddresses {
  readonly log: string;
  readonly hostList: string;
  readonly weightStore: string;
}

/** Platform adapters by name. */
export const platforms = new Registry<(addresses: PlatformAddresses) => Platform>(
  'platform adapter',
);
platforms.register('http', ({ log, hostList, weightStore }) => ({
  log: new HttpPlatformLog(log),
  hostList: new HttpHostList(hostList),
  weightStore: new HttpWeightStore(weightStore),
}));

/** Target adapters by name. */
export const targetAdapters: TargetAdapters = {
  engines: new Registry<(target: TargetAddress) => Engine>('engine adapter'),
  services: new Registry<(target: TargetAddress) => Service>('service adapter'),
};
targetAdapters.engines.register('http', ({ address }) => new HttpEngine(address));
targetAdapters.services.register('http', ({ address }) => new HttpService(address));
