/**
 * Stores answers that are too large for the log. The node that dispatched the call holds its answer
 * in memory until newer ones evict it, and other nodes fetch it from there; when that node is gone,
 * so is the answer.
 */
import { DisposableOwner } from '@tanagerdyke/kernel';
import { checkedHandler, Delivery, type Membership, type Transport } from '@tanagerdyke/mesh';
import { LRUCache } from 'lru-cache';
import { Result } from 'true-myth';
import {
  FETCH_ANSWER_METHOD,
  fetchAnswerRequestSchema,
  fetchAnswerResponseSchema,
} from './Messages.js';

/** Total size of the stored answers; the least recently used ones are evicted beyond it. */
const MAX_STORED_BYTES = 16 * 1024 * 1024;
const FETCH_TIMEOUT_MS = 2_000;

/** Stores the large answers of this node and fetches those of others. */
export class AnswerStore extends DisposableOwner {
  private readonly _bodies = new LRUCache<string, string>({
    maxSize: MAX_STORED_BYTES,
    sizeCalculation: (body) => Math.max(1, Buffer.byteLength(body)),
  });

  constructor(
    private readonly _transport: Transport,
    private readonly _membership: Membership,
  ) {
    super();
    this.register(
      _transport.handle(
        FETCH_ANSWER_METHOD,
        checkedHandler(fetchAnswerRequestSchema, ({ key }) =>
          Result.ok({ body: this._bodies.get(key) }),
        ),
      ),
    );
  }

  public store(key: string, body: string): void {
    this._bodies.set(key, body);
  }

  /** The body that `holder` stores for a key; `undefined` when it is no longer held. */
  public async fetch(key: string, holder: string): Promise<string | undefined> {
    const member = this._membership.find(holder);
    if (holder === this._membership.self.name || member === undefined) {
      return this._bodies.get(key);
    }
    const { peerAddress } = member;
    const response = await this._transport.request(
      peerAddress,
      FETCH_ANSWER_METHOD,
      { key },
      FETCH_TIMEOUT_MS,
      Delivery.AtLeastOnce,
    );
    const parsed = response.isOk ? fetchAnswerResponseSchema.safeParse(response.value) : undefined;
    return parsed?.success === true ? parsed.data.body : undefined;
  }
}
