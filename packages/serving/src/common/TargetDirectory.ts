/**
 * The targets of the configuration in force at this node: their adapters, their owners, and whether
 * they are leaving.
 */
import {
  type Clock,
  DisposableOwner,
  keepRunning,
  type ServiceError,
  type TimeLine,
} from '@tanagerdyke/kernel';
import {
  type Engine,
  type HostList,
  HostStatus,
  type Service,
  type TargetAdapters,
} from '@tanagerdyke/contracts';
import {
  type Configuration,
  type HostedTarget,
  HostIntent,
  type Route,
  type Target,
  TargetKind,
} from '@tanagerdyke/configuration';
import { type Member, type Membership, rankByRendezvous } from '@tanagerdyke/mesh';
import { Result } from 'true-myth';

/** Interval between reads of the platform's host list. */
const HOST_LIST_INTERVAL_MS = 2_000;

/** Dependencies of `TargetDirectory`. */
export interface DirectoryOptions {
  readonly clock: Clock;
  readonly configuration: Configuration;
  readonly membership: Membership;
  readonly hostList: HostList;
  readonly adapters: TargetAdapters;
  readonly timeLine: TimeLine;
}

/** Looks up targets, their adapters and their owners. */
export class TargetDirectory extends DisposableOwner {
  private readonly _engines = new Map<string, Engine>();
  private readonly _services = new Map<string, Service>();
  private readonly _leavingHosts = new Set<string>();
  private readonly _leavingTargets = new Set<string>();
  /** Cached owners by target; cleared when a member or the configuration changes. */
  private readonly _owners = new Map<string, Member | undefined>();

  constructor(private readonly _options: DirectoryOptions) {
    super();
    const clearOwners = (): void => {
      this._owners.clear();
    };
    this.register(_options.membership.onChange(clearOwners));
    this.register(_options.configuration.onChange(clearOwners));
  }

  public start(): void {
    keepRunning(this._options.clock, this.disposalSignal, 'host.list', () => this._hostListTask());
  }

  public find(name: string): HostedTarget | undefined {
    return this._options.configuration.set.targets.get(name);
  }

  /** All engines of the configuration in force. */
  public get engines(): readonly HostedTarget[] {
    return [...this._options.configuration.set.targets.values()].filter(
      ({ target }) => target.kind === TargetKind.Engine,
    );
  }

  /** Engines that are configured with a version and accept new work. */
  public enginesOf(version: string): readonly HostedTarget[] {
    return this.engines.filter(
      (hostedTarget) =>
        hostedTarget.target.versions.includes(version) && !this.isLeaving(hostedTarget),
    );
  }

  /** Service targets of a route that accept new work. */
  public servicesOf(route: Route): readonly HostedTarget[] {
    return route.services
      .map((name) => this.find(name))
      .filter((hostedTarget): hostedTarget is HostedTarget => hostedTarget !== undefined)
      .filter((hostedTarget) => !this.isLeaving(hostedTarget));
  }

  /** Whether a target gets no new work: by configuration, host list, or its own report. */
  public isLeaving({ host, target }: HostedTarget): boolean {
    return (
      host.intent === HostIntent.Leaving ||
      this._leavingHosts.has(host.name) ||
      this._leavingTargets.has(target.name)
    );
  }

  /** Records the target's own report that it is leaving or is available again. */
  public setTargetLeaving(name: string, isLeaving: boolean): void {
    if (isLeaving === this._leavingTargets.has(name)) {
      return;
    }
    if (isLeaving) {
      this._leavingTargets.add(name);
    } else {
      this._leavingTargets.delete(name);
    }
    this._options.timeLine.record('target.leaving', { target: name, isLeaving });
  }

  /** The member that owns a target: one of the target's zone if it has any, else any member. */
  public ownerOf(hostedTarget: HostedTarget): Member | undefined {
    const { name } = hostedTarget.target;
    if (!this._owners.has(name)) {
      this._owners.set(name, this._computeOwner(hostedTarget));
    }
    return this._owners.get(name);
  }

  public engine(target: Target): Result<Engine, ServiceError> {
    return getOrCreate(this._engines, target, () =>
      this._options.adapters.engines
        .find(target.adapter)
        .map((create) => create({ name: target.name, address: target.address })),
    );
  }

  public service(target: Target): Result<Service, ServiceError> {
    return getOrCreate(this._services, target, () =>
      this._options.adapters.services
        .find(target.adapter)
        .map((create) => create({ name: target.name, address: target.address })),
    );
  }

  private _computeOwner({ host, target }: HostedTarget): Member | undefined {
    const members = this._options.membership.serving;
    const sameZone = members.filter((each) => each.availabilityZone === host.availabilityZone);
    const eligible = sameZone.length > 0 ? sameZone : members;
    const [first] = rankByRendezvous(
      target.name,
      eligible.map(({ name }) => name),
    );
    return eligible.find(({ name }) => name === first);
  }

  private async _hostListTask(): Promise<void> {
    const { clock, hostList } = this._options;
    const { disposalSignal: signal } = this;
    while (!signal.aborted) {
      const list = await hostList.list();
      if (list.isOk) {
        this._leavingHosts.clear();
        for (const { name, status } of list.value) {
          if (status === HostStatus.Leaving) {
            this._leavingHosts.add(name);
          }
        }
      }
      await clock.sleep(HOST_LIST_INTERVAL_MS, signal);
    }
  }
}

function getOrCreate<T>(
  cache: Map<string, T>,
  target: Target,
  create: () => Result<T, ServiceError>,
): Result<T, ServiceError> {
  const key = `${target.adapter} ${target.address}`;
  const existing = cache.get(key);
  if (existing !== undefined) {
    return Result.ok(existing);
  }
  return create().map((adapter) => {
    cache.set(key, adapter);
    return adapter;
  });
}
