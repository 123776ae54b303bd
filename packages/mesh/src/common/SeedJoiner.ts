/**
 * Joins through seeds, at the start and again whenever a seed isn't among the live members, so that
 * parts of the system that a long cut had separated find each other. Both sides tell whom they hold
 * for dead; the other takes that for a suspicion only, which those concerned can refute.
 */
import { type Clock, DisposableOwner, type RandomSource } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import * as z from 'zod';
import { isLive, type MemberTable } from './MemberTable.js';
import { JOIN_METHOD, type Member, memberSchema, MemberStatus } from './Messages.js';
import type { Transport } from './services/Services.js';

const JOIN_TIMEOUT_MS = 1_000;
const FIRST_RETRY_MS = 500;
/** Interval of looking for seeds that aren't live. */
const REJOIN_INTERVAL_MS = 5_000;

const joinSchema = z.object({ members: z.array(memberSchema) });

/** What joining needs. */
export interface JoinerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly transport: Transport;
  readonly table: MemberTable;
  readonly self: () => Member;
  readonly merge: (members: readonly Member[]) => void;
  /** `IP:port` of nodes to join through; may include this node. */
  readonly seeds: readonly string[];
}

/** The joining of one node, and its answers to others that join. */
export class SeedJoiner extends DisposableOwner {
  constructor(private readonly _options: JoinerOptions) {
    super();
    this.register(
      _options.transport.handle(JOIN_METHOD, (params) => Promise.resolve(this._answer(params))),
    );
  }

  public async run(): Promise<void> {
    const { clock, random } = this._options;
    const { disposal: signal } = this;
    while (!signal.aborted) {
      const absent = this._absentSeeds();
      const isAlone = !this._hasPeers();
      // Once in the system, one seed at a time is enough, as its news spreads from there.
      const chosen = isAlone ? absent : absent.slice(random.integer(Math.max(1, absent.length)));
      for (const seed of isAlone ? chosen : chosen.slice(0, 1)) {
        await this.joinThrough(seed);
      }
      await clock.sleep(this._hasPeers() ? REJOIN_INTERVAL_MS : FIRST_RETRY_MS, signal);
    }
  }

  /** Exchanges what is known with the node at an address. */
  public async joinThrough(address: string): Promise<void> {
    const { self, table, transport } = this._options;
    const dead = table.all.filter(({ status }) => status === MemberStatus.Dead);
    const request = { members: [self(), ...dead] };
    const answer = await transport.request(address, JOIN_METHOD, request, JOIN_TIMEOUT_MS);
    const parsed = answer.isOk ? joinSchema.safeParse(answer.value) : undefined;
    if (parsed?.success === true) {
      this._options.merge(parsed.data.members.map(doubted));
    }
  }

  private _hasPeers(): boolean {
    return this._options.table.all.filter(isLive).length > 1;
  }

  private _absentSeeds(): readonly string[] {
    const { seeds, table } = this._options;
    const live = new Set(table.all.filter(isLive).map(({ peerAddress }) => peerAddress));
    return seeds.filter((seed) => !live.has(seed));
  }

  private _answer(params: unknown): Result<unknown, never> {
    const parsed = joinSchema.safeParse(params);
    if (parsed.success) {
      this._options.merge(parsed.data.members.map(doubted));
    }
    return Result.ok({ members: this._options.table.all });
  }
}

/** Another part's word that a member is dead counts as a suspicion. */
function doubted(member: Member): Member {
  return member.status === MemberStatus.Dead ? { ...member, status: MemberStatus.Suspect } : member;
}
