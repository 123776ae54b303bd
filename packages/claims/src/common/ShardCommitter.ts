/**
 * Serves submit and find requests for claim streams. A few committers per shard tail its stream and
 * append for all nodes, so that neither the append rate of the log nor the bandwidth of a node
 * grows with the number of nodes. A wrong or duplicate committer costs time but not correctness,
 * because log order alone decides claims.
 */
import { type Clock, DisposableOwner, type Logger } from '@tanagerdyke/kernel';
import type { PlatformLog } from '@tanagerdyke/contracts';
import { checkedHandler, type Transport } from '@tanagerdyke/mesh';
import { Result } from 'true-myth';
import { ClaimShard } from './ClaimShard.js';
import {
  claimStream,
  FIND_METHOD,
  findRequestSchema,
  type ShardId,
  SUBMIT_METHOD,
  submitRequestSchema,
} from './Messages.js';

export interface ShardCommitterOptions {
  readonly clock: Clock;
  readonly log: PlatformLog;
  readonly logger: Logger;
  readonly transport: Transport;
  readonly isExpired: (key: string) => boolean;
}

/** Opens, closes and serves the shards that this node tails. */
export class ShardCommitter extends DisposableOwner {
  private readonly _shards = new Map<string, ClaimShard>();

  constructor(private readonly _options: ShardCommitterOptions) {
    super();
    const { transport } = _options;
    this.register(
      transport.handle(
        SUBMIT_METHOD,
        checkedHandler(submitRequestSchema, async ({ shard, entry, waitMs }) =>
          Result.ok(await this.open(shard).submit(entry, waitMs)),
        ),
      ),
    );
    this.register(
      transport.handle(
        FIND_METHOD,
        checkedHandler(findRequestSchema, async ({ shard, key, waitMs }) =>
          Result.ok(await this.open(shard).find(key, waitMs)),
        ),
      ),
    );
  }

  /** Whether this node has replayed every shard that it tails to its tail. */
  public get isReady(): boolean {
    return [...this._shards.values()].every((shard) => shard.isReady);
  }

  /** Number of keys in the indexes of this node. */
  public get indexedKeys(): number {
    let keys = 0;
    for (const shard of this._shards.values()) {
      keys += shard.indexedKeys;
    }
    return keys;
  }

  /** Returns the shard and starts to tail it if this node doesn't yet. */
  public open(id: ShardId): ClaimShard {
    const stream = claimStream(id);
    let shard = this._shards.get(stream);
    if (shard === undefined) {
      const { clock, log, logger, isExpired } = this._options;
      shard = this.register(new ClaimShard({ clock, log, logger, stream, isExpired }));
      this._shards.set(stream, shard);
      shard.start();
    }
    return shard;
  }

  /** Stops tailing every shard for which `isAssigned` doesn't hold. */
  public keepOnly(isAssigned: (stream: string) => boolean): void {
    for (const [stream, shard] of this._shards) {
      if (!isAssigned(stream)) {
        this._shards.delete(stream);
        this.unregister(shard);
        shard.dispose();
      }
    }
  }
}
