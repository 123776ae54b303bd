/** Replaces one mechanism of a daemon by its naive implementation. */
import type { DaemonDependencies, MechanismFactories } from '@tanagerdyke/daemon';
import { EngineReconciler } from '@tanagerdyke/serving';
import { LastRecordFollower } from './LastRecordFollower.js';
import { MatchByOrderTransport } from './MatchByOrderTransport.js';
import {
  AlwaysNotRunClient,
  DispatchBeforeClaimClient,
  IgnoreDeadlinesClient,
  TakeOverClaimsClient,
} from './NaiveAtMostOnceClients.js';
import { AlwaysNotRunCompletions, IgnoreDeadlinesCompletions } from './NaiveCompletions.js';
import { NaiveMechanism } from './NaiveMechanism.js';
import { HostListDirectory, withIgnoredFrees } from './NaiveTargetDirectories.js';

/** Factories of the naive mechanisms; `MatchByOrder` wraps the transport instead. */
const NAIVE_FACTORIES: Record<NaiveMechanism, () => Partial<MechanismFactories>> = {
  [NaiveMechanism.DispatchBeforeClaim]: () => ({
    createAtMostOnceClient: (options) => new DispatchBeforeClaimClient(options),
  }),
  [NaiveMechanism.TakeOverClaims]: () => ({
    createAtMostOnceClient: (options) => new TakeOverClaimsClient(options),
  }),
  [NaiveMechanism.BelieveLastRecord]: () => ({
    createFollower: (options) => new LastRecordFollower(options),
  }),
  [NaiveMechanism.ForgetReservations]: () => ({
    createReconciler: (options) =>
      new EngineReconciler({ ...options, directory: withIgnoredFrees(options.directory) }),
  }),
  [NaiveMechanism.TrustHostList]: () => ({
    createDirectory: (options) => new HostListDirectory(options),
  }),
  [NaiveMechanism.MatchByOrder]: () => ({}),
  [NaiveMechanism.AlwaysNotRun]: () => ({
    createAtMostOnceClient: (options) => new AlwaysNotRunClient(options),
    createCompletions: (options) => new AlwaysNotRunCompletions(options),
  }),
  [NaiveMechanism.IgnoreDeadlines]: () => ({
    createAtMostOnceClient: (options) => new IgnoreDeadlinesClient(options),
    createCompletions: (options) => new IgnoreDeadlinesCompletions(options),
  }),
  [NaiveMechanism.CutStreams]: () => {
    process.on('SIGTERM', () => process.exit(0));
    return {};
  },
};

/** Replaces the mechanism with the given name; an empty or unknown name replaces none. */
export function withNaiveMechanism(
  dependencies: DaemonDependencies,
  name: string,
): DaemonDependencies {
  const mechanismsByName = new Map<string, NaiveMechanism>(
    Object.values(NaiveMechanism).map((each) => [each, each]),
  );
  const mechanism = mechanismsByName.get(name);
  if (mechanism === undefined) {
    return dependencies;
  }
  const { mechanisms, wrapTransport } = dependencies;
  return {
    ...dependencies,
    mechanisms: { ...mechanisms, ...NAIVE_FACTORIES[mechanism]() },
    wrapTransport:
      mechanism === NaiveMechanism.MatchByOrder
        ? (transport, clock, settings) =>
            new MatchByOrderTransport(wrapTransport(transport, clock, settings))
        : wrapTransport,
  };
}
