/**
 * The targets of this node's configuration in force with their adapters, which of them are leaving,
 * and who owns each.
 */
import { type Clock, DisposableOwner, type ServiceError, type TimeLine } from '@tanagerdyke/kernel';
import {
  type Engine,
  type HostList,
  HostStatus,
  type Service,
  type TargetAdapters,
} from '@tanagerdyke/contracts';
import {
  type Configuration,
  HostIntent,
  type PlacedTarget,
  type Route,
  type Target,
  TargetKind,
} from '@tanagerdyke/configuration';
import { type Member, type Membership, rankByRendezvous } from '@tanagerdyke/mesh';
import { Result } from 'true-myth';

/** Interval of reading the platform's host list. */
const HOST_LIST_INTERVAL_MS = 2_000;

/** What a directory needs. */
export interface DirectoryOptions {
  readonly clock: Clock;
  readonly configuration: Configuration;
  readonly membership: Membership;
  readonly hostList: HostList;
  readonly adapters: TargetAdapters;
  readonly timeLine: TimeLine;
}

/** Finds targets, adapters and owners. */
export class TargetDirectory extends DisposableOwner {
  private readonly _engines = new Map<string, Engine>();
  private readonly _services = new Map<string, Service>();
  private readonly _leavingHosts = new Set<string>();
  private readonly _leavingTargets = new Set<string>();
  /** Owners by target, as long as neither members nor the configuration change. */
  private readonly _owners = new Map<string, Member | undefined>();

  constructor(private readonly _options: DirectoryOptions) {
    super();
    const forgetOwners = (): void => {
      this._owners.clear();
    };
    this.register(_options.membership.onChange(forgetOwners));
    this.register(_options.configuration.onChange(forgetOwners));
  }

  public start(): void {
    void this._hostListTask();
  }

  public find(name: string): PlacedTarget | undefined {
    return this._options.configuration.set.targets.get(name);
  }

  /** All engines of the configuration in force. */
  public get engines(): readonly PlacedTarget[] {
    return [...this._options.configuration.set.targets.values()].filter(
      ({ target }) => target.kind === TargetKind.Engine,
    );
  }

  /** Engines that have one of the route's versions and take new work. */
  public enginesOf(version: string): readonly PlacedTarget[] {
    return this.engines.filter(
      (placed) => placed.target.versions.includes(version) && !this.isLeaving(placed),
    );
  }

  /** Service targets of a route that take new work. */
  public servicesOf(route: Route): readonly PlacedTarget[] {
    return route.services
      .map((name) => this.find(name))
      .filter((placed): placed is PlacedTarget => placed !== undefined)
      .filter((placed) => !this.isLeaving(placed));
  }

  /** Whether a target gets no new work, by any of the three sources. */
  public isLeaving({ host, target }: PlacedTarget): boolean {
    return (
      host.intent === HostIntent.Leaving ||
      this._leavingHosts.has(host.name) ||
      this._leavingTargets.has(target.name)
    );
  }

  /** Takes the target's own word that it leaves, or has come back. */
  public reportTarget(name: string, isLeaving: boolean): void {
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

  /** The node that accounts for a target: the same zone first, then any. */
  public ownerOf(placed: PlacedTarget): Member | undefined {
    const { name } = placed.target;
    if (!this._owners.has(name)) {
      this._owners.set(name, this._computeOwner(placed));
    }
    return this._owners.get(name);
  }

  public engine(target: Target): Result<Engine, ServiceError> {
    return cached(this._engines, target, () =>
      this._options.adapters.engines
        .find(target.adapter)
        .map((create) => create({ name: target.name, address: target.address })),
    );
  }

  public service(target: Target): Result<Service, ServiceError> {
    return cached(this._services, target, () =>
      this._options.adapters.services
        .find(target.adapter)
        .map((create) => create({ name: target.name, address: target.address })),
    );
  }

  private _computeOwner({ host, target }: PlacedTarget): Member | undefined {
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
    const { disposal: signal } = this;
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

function cached<T>(
  cache: Map<string, T>,
  target: Target,
  create: () => Result<T, ServiceError>,
): Result<T, ServiceError> {
  const key = `${target.adapter} ${target.address}`;
  const known = cache.get(key);
  if (known !== undefined) {
    return Result.ok(known);
  }
  return create().map((adapter) => {
    cache.set(key, adapter);
    return adapter;
  });
}
