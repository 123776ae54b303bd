/** The prefix cache of the engine stand-in, which evicts the least recently used prefixes first. */

/** A cached prompt segment, identified by the digest of the prompt up to the segment's end. */
export interface CachedPrefix {
  readonly prefix: string;
  /** Tokens of the segment at the end of the prefix. */
  readonly tokens: number;
}

/** Called when a prefix is stored or evicted. */
export type CacheListener = (kind: 'stored' | 'evicted', prefix: string) => void;

/** Token counts by prefix digest, ordered from least to most recently used. */
export class PrefixCache {
  private readonly _entries = new Map<string, number>();
  private _tokens = 0;

  constructor(private readonly _listener: CacheListener) {}

  public get tokens(): number {
    return this._tokens;
  }

  /** Tokens of the leading prefixes that are cached; marks these as used. */
  public matchLongest(prefixes: readonly CachedPrefix[]): number {
    let matched = 0;
    for (const { prefix } of prefixes) {
      const tokens = this._entries.get(prefix);
      if (tokens === undefined) {
        break;
      }
      this._entries.delete(prefix);
      this._entries.set(prefix, tokens);
      matched += tokens;
    }
    return matched;
  }

  /** Adds the prefixes that are not cached yet, then evicts down to `limit` tokens. */
  public store(prefixes: readonly CachedPrefix[], limit: number): void {
    for (const { prefix, tokens } of prefixes) {
      if (!this._entries.has(prefix)) {
        this._entries.set(prefix, tokens);
        this._tokens += tokens;
        this._listener('stored', prefix);
      }
    }
    this.evictToLimit(limit);
  }

  /** Evicts the least recently used prefixes until at most `limit` tokens are cached. */
  public evictToLimit(limit: number): void {
    for (const [prefix, tokens] of this._entries) {
      if (this._tokens <= limit) {
        return;
      }
      this._entries.delete(prefix);
      this._tokens -= tokens;
      this._listener('evicted', prefix);
    }
  }
}
