/**
 * Joins the system through seeds, at the start and again whenever a seed isn't among the live
 * members, so that the two sides of a long network partition merge. Each side sends the members
 * that it has declared dead; the other records them as suspected only, so that they can refute.
 */
import { type Clock, DisposableOwner, type RandomSource } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import * as z from 'zod';
import { fingerprintOf } from './MemberSync.js';
import { isLive, type MemberTable } from './MemberTable.js';
import { JOIN_METHOD, type Member, memberSchema, MemberStatus } from './Messages.js';
import { Delivery, type Transport } from './services/Services.js';

const JOIN_TIMEOUT_MS = 1_000;
/** Time between attempts while this node has no peers. */
const FIRST_RETRY_MS = 500;
/**
 * Records in one response to a node that requests the rest from other peers. When all nodes start at
 * once, whole lists for each of them would occupy the links of the seeds for seconds.
 */
const MAX_RECORDS = 64;
/** Time between checks for seeds that aren't live. */
const REJOIN_INTERVAL_MS = 5_000;

const joinSchema = z.object({
  members: z.array(memberSchema),
  /** In a request: names of the only members to return; all are returned without it. */
  wanted: z.array(z.string()).optional(),
  /** In a request: fingerprints of the records that are not to be returned. */
  known: z.array(z.number()).optional(),
});

export interface SeedJoinerOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly transport: Transport;
  readonly table: MemberTable;
  readonly self: () => Member;
  readonly merge: (members: readonly Member[]) => void;
  /** `IP:port` of the nodes to join through; may include this node. */
  readonly seeds: readonly string[];
}

/** Joins through seeds, and handles the join requests of other nodes. */
export class SeedJoiner extends DisposableOwner {
  constructor(private readonly _options: SeedJoinerOptions) {
    super();
    this.register(
      _options.transport.handle(JOIN_METHOD, (params) => Promise.resolve(this._handleJoin(params))),
    );
  }

  /** Joins through missing seeds until disposed. */
  public async run(): Promise<void> {
    const { clock, random } = this._options;
    const { disposalSignal: signal } = this;
    while (!signal.aborted) {
      const missing = this._missingSeeds();
      const isAlone = !this._hasPeers();
      // With peers, one random seed per round is enough: gossip disseminates what it returns.
      const chosen = isAlone ? missing : missing.slice(random.integer(Math.max(1, missing.length)));
      for (const seed of isAlone ? chosen : chosen.slice(0, 1)) {
        await this.joinThrough(seed);
        if (this._hasPeers()) {
          break;
        }
      }
      await clock.sleep(this._hasPeers() ? REJOIN_INTERVAL_MS : FIRST_RETRY_MS, signal);
    }
  }

  /** Exchanges member lists with the node at a peer address. */
  public async joinThrough(address: string): Promise<void> {
    const { self, table } = this._options;
    const dead = table.all.filter(({ status }) => status === MemberStatus.Dead);
    await this._exchange(address, {
      members: [self(), ...dead],
      known: table.all.map(fingerprintOf),
    });
  }

  /**
   * Requests the records of members by name. The whole list of a large system would occupy the link
   * of a small host, and many nodes request records when all restart.
   */
  public async requestMembers(address: string, names: readonly string[]): Promise<void> {
    await this._exchange(address, { members: [this._options.self()], wanted: [...names] });
  }

  /** Requests the records whose fingerprints are not among `known`; returns their number. */
  public requestMissing(address: string, known: readonly number[]): Promise<number> {
    return this._exchange(address, { members: [this._options.self()], known: [...known] });
  }

  /** Returns the number of records that were received. */
  private async _exchange(address: string, request: z.infer<typeof joinSchema>): Promise<number> {
    const { merge, transport } = this._options;
    const response = await transport.request(
      address,
      JOIN_METHOD,
      request,
      JOIN_TIMEOUT_MS,
      Delivery.AtLeastOnce,
    );
    const parsed = response.isOk ? joinSchema.safeParse(response.value) : undefined;
    if (parsed?.success !== true) {
      return 0;
    }
    merge(parsed.data.members.map(downgradeDeath));
    return parsed.data.members.length;
  }

  private _hasPeers(): boolean {
    return this._options.table.all.filter(isLive).length > 1;
  }

  private _missingSeeds(): readonly string[] {
    const { seeds, table } = this._options;
    const live = new Set(table.all.filter(isLive).map(({ peerAddress }) => peerAddress));
    return seeds.filter((seed) => !live.has(seed));
  }

  private _handleJoin(params: unknown): Result<unknown, never> {
    const parsed = joinSchema.safeParse(params);
    if (parsed.success) {
      this._options.merge(parsed.data.members.map(downgradeDeath));
    }
    const { known, wanted } = parsed.success ? parsed.data : {};
    const { all } = this._options.table;
    const names = wanted === undefined ? undefined : new Set(wanted);
    const excluded = new Set(known);
    const members = all.filter(
      (member) =>
        (names?.has(member.name) ?? true) &&
        (excluded.size === 0 || !excluded.has(fingerprintOf(member))),
    );
    return Result.ok({ members: known === undefined ? members : this._chooseRecords(members) });
  }

  /** A random selection, so that the responses of several nodes have different records. */
  private _chooseRecords(members: readonly Member[]): readonly Member[] {
    const first = this._options.random.integer(Math.max(1, members.length));
    return [...members.slice(first), ...members.slice(0, first)].slice(0, MAX_RECORDS);
  }
}

/** Turns a death that another node declared into a suspicion, which the member can refute. */
function downgradeDeath(member: Member): Member {
  return member.status === MemberStatus.Dead ? { ...member, status: MemberStatus.Suspect } : member;
}
