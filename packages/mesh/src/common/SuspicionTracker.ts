/**
 * Suspicion of members that don't ack a probe: a suspect has the suspicion timeout to refute, which
 * starts again if this node was paused, is then pinged a few more times, and only then declared
 * dead. Dead and left members are removed from the table after a delay.
 */
import {
  type Clock,
  DisposableOwner,
  type RandomSource,
  runInBackground,
  type TimeLine,
} from '@tanagerdyke/kernel';
import type { AckTable } from './AckTable.js';
import { isLive, type MemberTable } from './MemberTable.js';
import { type Member, MemberStatus } from './Messages.js';
import { ProbeKind } from './ProbeMessages.js';
import type { UpdateDisseminator } from './UpdateDisseminator.js';

/** Time that a suspect has to refute the suspicion. */
export const SUSPICION_TIMEOUT_MS = 1_600;
/** Pings to a suspect before it is declared dead. */
const FINAL_PINGS = 4;
const FINAL_PING_TIMEOUT_MS = 150;
/** Time after which dead and left members are removed from the table. */
const REMOVAL_DELAY_MS = 120_000;

export interface SuspicionTrackerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly timeLine: TimeLine;
  readonly table: MemberTable;
  readonly acks: AckTable;
  readonly disseminator: UpdateDisseminator;
  readonly merge: (members: readonly Member[]) => void;
  /** Whether this node was paused and can't tell yet whether others are dead. */
  readonly isRecoveringFromPause: () => boolean;
}

/** Suspects members, declares them dead and removes them. */
export class SuspicionTracker extends DisposableOwner {
  constructor(private readonly _options: SuspicionTrackerOptions) {
    super();
  }

  /** Suspects a member that didn't ack a probe. */
  public suspect({ name }: Member): void {
    const { merge, table, timeLine } = this._options;
    const known = table.find(name);
    if (known?.status !== MemberStatus.Alive) {
      return;
    }
    timeLine.record('member.suspected', { member: name });
    merge([{ ...known, status: MemberStatus.Suspect }]);
  }

  /** Starts the timer that goes with a member's new status. */
  public handleStatusChange(member: Member): void {
    if (member.status === MemberStatus.Suspect) {
      this._awaitRefutation(member);
    }
    if (!isLive(member)) {
      this._schedule(REMOVAL_DELAY_MS, () => {
        this._removeIfGone(member.name);
      });
    }
  }

  private _awaitRefutation(suspect: Member): void {
    this._schedule(SUSPICION_TIMEOUT_MS, () => {
      if (this._options.isRecoveringFromPause()) {
        this._awaitRefutation(suspect);
      } else {
        runInBackground('member.last-probes', () => this._pingBeforeDeclaringDead(suspect));
      }
    });
  }

  /**
   * Pings a suspect that didn't refute in time. Each ping carries the suspicion, since either the
   * suspicion or its refutation may have been lost.
   */
  private async _pingBeforeDeclaringDead(suspect: Member): Promise<void> {
    const { acks, disseminator, random } = this._options;
    for (let ping = 0; ping < FINAL_PINGS && this._isStillSuspect(suspect); ping++) {
      const id = random.identifier();
      const acked = acks.waitFor(id, FINAL_PING_TIMEOUT_MS);
      disseminator.sendMessage(suspect.peerAddress, ProbeKind.Ping, id, { aboutMember: suspect });
      // The ack carries the refutation, unless another node has taken over the address.
      await acked;
    }
    if (!this.isDisposed) {
      this._declareDead(suspect);
    }
  }

  private _declareDead(suspect: Member): void {
    const { merge, table, timeLine } = this._options;
    const known = table.find(suspect.name);
    if (known === undefined || !this._isStillSuspect(suspect)) {
      return;
    }
    timeLine.record('member.dead', { member: suspect.name });
    merge([{ ...known, status: MemberStatus.Dead }]);
  }

  private _isStillSuspect({ name, incarnation }: Member): boolean {
    const known = this._options.table.find(name);
    return known?.status === MemberStatus.Suspect && known.incarnation === incarnation;
  }

  private _removeIfGone(name: string): void {
    const known = this._options.table.find(name);
    if (known !== undefined && !isLive(known)) {
      this._options.table.remove(name);
    }
  }

  private _schedule(delayMs: number, callback: () => void): void {
    const timer = this.register(
      this._options.clock.schedule(delayMs, () => {
        this.unregister(timer);
        callback();
      }),
    );
  }
}
