/**
 * Sends submit and find requests from the entry node of a call to the committers of a shard, which
 * rendezvous hashing determines, one after the other. Submitting an entry to several committers is
 * safe, because an entry that is appended again has no further effect.
 */
import { createHash } from 'node:crypto';
import { type Clock, ErrorKind, type ServiceError } from '@tanagerdyke/kernel';
import {
  Delivery,
  type Member,
  type Membership,
  rankByRendezvous,
  type Transport,
} from '@tanagerdyke/mesh';
import type { Result } from 'true-myth';
import {
  AppendOutcome,
  claimStream,
  type Entry,
  FIND_METHOD,
  type FindResponse,
  findResponseSchema,
  type ShardId,
  SUBMIT_METHOD,
  type SubmitResponse,
  submitResponseSchema,
} from './Messages.js';
import type { ShardCommitter } from './ShardCommitter.js';

/** Nodes that tail a shard: a committer and a standby. */
const COMMITTERS_PER_SHARD = 2;
/** How long to wait for one committer before the next one is tried. */
const COMMITTER_TIMEOUT_MS = 1_500;
/** Time allowed for a response to arrive after the committer's own wait is over. */
const RESPONSE_DELAY_ALLOWANCE_MS = 300;
const SHARD_HASH_BYTES = 4;

export interface ShardRouterOptions {
  readonly clock: Clock;
  readonly transport: Transport;
  readonly membership: Membership;
  readonly localCommitter: ShardCommitter;
}

/** Routes requests to the committers of every shard. */
export class ShardRouter {
  constructor(private readonly _options: ShardRouterOptions) {}

  /** The shard of a key in a layout. */
  public shardOf(key: string, shards: number): ShardId {
    const hash = createHash('sha256').update(key).digest();
    return { shards, shard: hash.readUIntBE(0, SHARD_HASH_BYTES) % shards };
  }

  /** Whether this node is one of a shard's committers. */
  public isCommitter(shard: ShardId): boolean {
    const { self } = this._options.membership;
    return this._committers(shard).some(({ name }) => name === self.name);
  }

  /** Has a committer append an entry and returns the resulting state of its key. */
  public async submit(shard: ShardId, entry: Entry, deadline: number): Promise<SubmitResponse> {
    const { clock, localCommitter, transport } = this._options;
    let outcome = AppendOutcome.Refused;
    for (const committer of this._committersThenSelf(shard)) {
      const waitMs = Math.min(COMMITTER_TIMEOUT_MS, deadline - clock.now());
      if (waitMs <= 0) {
        break;
      }
      const response =
        committer === undefined
          ? await localCommitter.open(shard).submit(entry, waitMs)
          : parseSubmitResponse(
              await transport.request(
                committer.peerAddress,
                SUBMIT_METHOD,
                { shard, entry, waitMs },
                waitMs + RESPONSE_DELAY_ALLOWANCE_MS,
              ),
            );
      if (response.fate === AppendOutcome.Appended) {
        return response;
      }
      outcome = response.fate === AppendOutcome.Unknown ? AppendOutcome.Unknown : outcome;
    }
    return { fate: outcome };
  }

  /** The state of a key; waits while it is claimed and `deadline` hasn't passed. */
  public async find(shard: ShardId, key: string, deadline: number): Promise<FindResponse> {
    const { clock, localCommitter, transport } = this._options;
    for (const committer of this._committersThenSelf(shard)) {
      const waitMs = Math.max(0, deadline - clock.now());
      if (committer === undefined) {
        return localCommitter.open(shard).find(key, waitMs);
      }
      const params = { shard, key, waitMs };
      const timeoutMs = waitMs + RESPONSE_DELAY_ALLOWANCE_MS;
      const response = await transport.request(
        committer.peerAddress,
        FIND_METHOD,
        params,
        timeoutMs,
        Delivery.AtLeastOnce,
      );
      const parsed = response.isOk ? findResponseSchema.safeParse(response.value) : undefined;
      if (parsed?.success === true) {
        return parsed.data;
      }
    }
    return { isComplete: false };
  }

  /** The committers in order, with `undefined` for this node; it comes last if it is not one. */
  private _committersThenSelf(shard: ShardId): readonly (Member | undefined)[] {
    const { self } = this._options.membership;
    const committers = this._committers(shard);
    const others = committers.map((each) => (each.name === self.name ? undefined : each));
    return others.includes(undefined) ? others : [...others, undefined];
  }

  private _committers(shard: ShardId): readonly Member[] {
    const members = this._options.membership.serving;
    const ranked = rankByRendezvous(
      claimStream(shard),
      members.map(({ name }) => name),
    );
    return ranked
      .slice(0, COMMITTERS_PER_SHARD)
      .flatMap((name) => members.filter((member) => member.name === name));
  }
}

function parseSubmitResponse(response: Result<unknown, ServiceError>): SubmitResponse {
  if (response.isErr) {
    // A committer that rejects a request as malformed has not appended its entry.
    const isRejected = response.error.kind === ErrorKind.BadRequest;
    return { fate: isRejected ? AppendOutcome.Refused : AppendOutcome.Unknown };
  }
  const parsed = submitResponseSchema.safeParse(response.value);
  return parsed.success ? parsed.data : { fate: AppendOutcome.Unknown };
}
