/** A membership without failure detection, for tests that set the members themselves. */
import { Emitter } from '@tanagerdyke/kernel';
import { isLive, type Member, type Membership, MemberStatus } from '@tanagerdyke/mesh';

/** Creates an alive and ready member. */
export function memberOf(name: string, peerAddress: string): Member {
  return {
    name,
    peerAddress,
    callerAddress: `http://${peerAddress}`,
    region: 'r',
    availabilityZone: 'z',
    incarnation: 1,
    startedAt: 1,
    stateVersion: 0,
    status: MemberStatus.Alive,
    state: { configurationOffset: 0, configurationDigest: '', isReady: true, isDraining: false },
  };
}

/** Returns the members that the test last set. */
export class FixedMembership implements Membership {
  private readonly _onChange = new Emitter<Member>();
  public readonly onChange = this._onChange.event;
  public readonly lastContactAt = 0;
  public resumedAt = Number.NEGATIVE_INFINITY;
  public readonly publish = (): void => undefined;
  public readonly leave = (): Promise<void> => Promise.resolve();
  public readonly dispose = (): void => undefined;

  constructor(
    public readonly self: Member,
    public live: readonly Member[],
  ) {}

  public get serving(): readonly Member[] {
    return this.live;
  }

  /** Adds or replaces a member, or removes it if it isn't live, and fires `onChange`. */
  public applyUpdate(member: Member): void {
    const others = this.live.filter(({ name }) => name !== member.name);
    this.live = isLive(member) ? [...others, member] : others;
    this._onChange.fire(member);
  }

  public find(name: string): Member | undefined {
    return this.live.find((member) => member.name === name);
  }
}
