/**
 * Completes the member list by anti-entropy: probe messages carry a digest of the sender's live
 * members and whether they serve, and a node whose own digest differs requests the records that it
 * lacks. Gossip alone
 * leaves gaps when many nodes start at the same moment, since an update is sent a limited number of
 * times and few of its receivers are known by then. Nodes with different lists choose different
 * coordinators and notify different peers.
 */
import { type Clock, DisposableOwner, runInBackground } from '@tanagerdyke/kernel';
import { isLive, type MemberTable } from './MemberTable.js';
import type { Member } from './Messages.js';

/** Time between two requests while the last one returned several unknown members. */
const FIRST_INTERVAL_MS = 250;
/** Digests also differ while a single change spreads by gossip, so requests become rarer. */
const MAX_INTERVAL_MS = 8_000;
/** Fewer new records are those that gossip is spreading at the moment. */
const MIN_NEW_RECORDS = 2;

const HASH_OFFSET = 0x811c9dc5;
const HASH_PRIME = 0x01000193;

export interface MemberSyncOptions {
  readonly clock: Clock;
  readonly table: MemberTable;
  /** Requests the records whose fingerprints are not among `known`; returns their number. */
  readonly request: (address: string, known: readonly number[]) => Promise<number>;
}

/** Compares the member lists of this node and its peers, and requests missing records. */
export class MemberSync extends DisposableOwner {
  private _digest: number | undefined;
  private _intervalMs = FIRST_INTERVAL_MS;
  private _requestedAt = Number.NEGATIVE_INFINITY;
  private _isRequesting = false;

  constructor(private readonly _options: MemberSyncOptions) {
    super();
    this.register(
      _options.table.onChange(() => {
        this._digest = undefined;
      }),
    );
  }

  /** Digest of the live members; the order of the records does not matter. */
  public get digest(): number {
    this._digest ??= this._options.table.all
      .filter(isLive)
      .reduce((sum, member) => (sum + processHashOf(member)) >>> 0, 0);
    return this._digest;
  }

  /** Handles the digest of a peer; requests its records if it differs and a request is due. */
  public handleDigest(address: string, digest: number): void {
    const { clock } = this._options;
    const isDue = clock.now() - this._requestedAt >= this._intervalMs;
    if (digest !== this.digest && isDue && !this._isRequesting) {
      runInBackground('member.sync', () => this._request(address));
    }
  }

  private async _request(address: string): Promise<void> {
    const { clock, request, table } = this._options;
    this._requestedAt = clock.now();
    this._isRequesting = true;
    let received = 0;
    try {
      received = await request(address, table.all.map(fingerprintOf));
    } finally {
      this._isRequesting = false;
    }
    this._intervalMs =
      received >= MIN_NEW_RECORDS
        ? FIRST_INTERVAL_MS
        : Math.min(MAX_INTERVAL_MS, 2 * this._intervalMs);
  }
}

/** Identifies a process and whether it serves, which decides what it is chosen for. */
function processHashOf({ name, startedAt, state }: Member): number {
  return hashOf(`${name} ${startedAt} ${state.isReady} ${state.isDraining}`);
}

/** Identifies the content of a record. */
export function fingerprintOf({
  incarnation,
  name,
  startedAt,
  stateVersion,
  status,
}: Member): number {
  return hashOf(`${name} ${startedAt} ${incarnation} ${stateVersion} ${status}`);
}

/** FNV-1a hash, 32 bits. */
function hashOf(text: string): number {
  let hash = HASH_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), HASH_PRIME);
  }
  return hash >>> 0;
}
