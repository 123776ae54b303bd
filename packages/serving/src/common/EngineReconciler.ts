/**
 * Frees abandoned items on engines. The owner of an engine periodically compares the items that the
 * engine holds and the reservations on it with the attempts that the entry nodes report as live. It
 * frees the items of a node that has been dead for the grace period, and items that their node no
 * longer reports, so that a lost response, a dead owner or a cancelled caller never leaks memory.
 */
import { type Clock, DisposableOwner, type Metrics, type TimeLine } from '@tanagerdyke/kernel';
import type { Engine, HeldItem } from '@tanagerdyke/contracts';
import type { HostedTarget } from '@tanagerdyke/configuration';
import { Delivery, isLive, type Member, type Membership, type Transport } from '@tanagerdyke/mesh';
import type { AttemptRegistry } from './AttemptRegistry.js';
import { LIVE_METHOD, liveResponseSchema } from './Messages.js';
import type { ReservedItem, TargetAccount } from './TargetAccount.js';
import type { TargetDirectory } from './TargetDirectory.js';

/** Interval between reconciliations of an owned engine. */
const RECONCILE_INTERVAL_MS = 2_000;
/** Time after a node is found dead before its items are freed. */
const DEATH_GRACE_MS = 4_000;
const LIVE_TIMEOUT_MS = 1_000;

/** Dependencies of `EngineReconciler`. */
export interface ReconcilerOptions {
  readonly clock: Clock;
  readonly transport: Transport;
  readonly membership: Membership;
  readonly directory: TargetDirectory;
  readonly attempts: AttemptRegistry;
  readonly timeLine: TimeLine;
  readonly metrics: Metrics;
}

/** The entry-node process that an item belongs to. */
interface Holder {
  readonly node: string;
  /** Start of the node's process, in milliseconds of wall time; a restart increases it. */
  readonly incarnation: number;
}

/** Reconciles the engines that this node owns. */
export class EngineReconciler extends DisposableOwner {
  /** Time at which a holder was first found gone, by holder key. */
  private readonly _goneSince = new Map<string, number>();

  constructor(private readonly _options: ReconcilerOptions) {
    super();
    this.register(
      _options.membership.onChange((member) => {
        // A holder that is live again gets the full grace period the next time.
        if (isLive(member)) {
          this._goneSince.delete(holderKey({ node: member.name, incarnation: member.startedAt }));
        }
      }),
    );
  }

  /** Reconciles an account periodically until `isOwned` returns false. */
  public async reconcileWhile(account: TargetAccount, isOwned: () => boolean): Promise<void> {
    const { clock, directory } = this._options;
    const { disposalSignal: signal } = this;
    while (!signal.aborted && isOwned()) {
      const hostedTarget = directory.find(account.target);
      if (hostedTarget !== undefined) {
        await this._reconcile(account, hostedTarget);
      }
      await clock.sleep(RECONCILE_INTERVAL_MS, signal);
    }
  }

  private async _reconcile(account: TargetAccount, hostedTarget: HostedTarget): Promise<void> {
    const { directory } = this._options;
    const engine = directory.engine(hostedTarget.target);
    if (engine.isErr) {
      return;
    }
    const report = await engine.value.load();
    const held = await engine.value.held();
    if (report.isErr || held.isErr) {
      return;
    }
    directory.setTargetLeaving(hostedTarget.target.name, report.value.leaving);
    account.applyEngineReport(report.value, held.value);
    const events = await engine.value.cacheEvents(account.prefixes.nextSequence);
    if (events.isOk) {
      account.prefixes.apply(events.value);
    }
    await this._freeAbandoned(account, engine.value, held.value);
  }

  private async _freeAbandoned(
    account: TargetAccount,
    engine: Engine,
    held: readonly HeldItem[],
  ): Promise<void> {
    const items: readonly ReservedItem[] = [...held, ...account.items];
    const abandoned = new Set<string>();
    for (const group of groupByHolder(items)) {
      for (const id of await this._findAbandoned(account.target, group.holder, group.ids)) {
        abandoned.add(id);
      }
    }
    if (abandoned.size === 0) {
      return;
    }
    const ids = [...abandoned];
    const freed = await engine.free(ids);
    if (freed.isOk) {
      account.releaseAll(ids);
      const { metrics, timeLine } = this._options;
      metrics.increment('tanager_items_reclaimed_total', {}, ids.length);
      timeLine.record('engine.reclaimed', { target: account.target, count: ids.length });
    }
  }

  private async _findAbandoned(
    target: string,
    holder: Holder,
    ids: readonly string[],
  ): Promise<readonly string[]> {
    const { attempts, membership, transport } = this._options;
    const { self } = membership;
    if (holder.node === self.name && holder.incarnation === self.startedAt) {
      const { live } = attempts.filterLive(target, ids);
      return ids.filter((id) => !live.includes(id));
    }
    const member = membership.find(holder.node);
    if (member === undefined || !isSameProcess(member, holder)) {
      return this._isGracePeriodOver(holder) ? ids : [];
    }
    this._goneSince.delete(holderKey(holder));
    const response = await transport.request(
      member.peerAddress,
      LIVE_METHOD,
      { target, ids },
      LIVE_TIMEOUT_MS,
      Delivery.AtLeastOnce,
    );
    const parsed = response.isOk ? liveResponseSchema.safeParse(response.value) : undefined;
    const live = parsed?.success === true ? parsed.data.live : ids;
    return ids.filter((id) => !live.includes(id));
  }

  private _isGracePeriodOver(holder: Holder): boolean {
    const key = holderKey(holder);
    const now = this._options.clock.now();
    const goneSince = this._goneSince.get(key) ?? now;
    this._goneSince.set(key, goneSince);
    return now - goneSince >= DEATH_GRACE_MS;
  }
}

function isSameProcess(member: Member, holder: Holder): boolean {
  return isLive(member) && member.startedAt === holder.incarnation;
}

function holderKey({ node, incarnation }: Holder): string {
  return `${node}/${incarnation}`;
}

function groupByHolder(
  items: readonly ReservedItem[],
): readonly { readonly holder: Holder; readonly ids: readonly string[] }[] {
  const groups = new Map<string, { holder: Holder; ids: Set<string> }>();
  for (const { id, node, incarnation } of items) {
    const holder = { node, incarnation };
    const group = groups.get(holderKey(holder)) ?? { holder, ids: new Set<string>() };
    group.ids.add(id);
    groups.set(holderKey(holder), group);
  }
  return [...groups.values()].map(({ holder, ids }) => ({ holder, ids: [...ids] }));
}
