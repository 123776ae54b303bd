/**
 * Relays topic records from the platform between nodes, so that a node that the platform rejects,
 * or that starts during an outage of the platform, still receives updates. Each node sends the end
 * offsets of its tables to peers; a node that is behind fetches the missing records from those that
 * are ahead. Offsets are compared within one epoch of the log; a node of an earlier epoch fetches
 * the whole table. Records of earlier epochs that are still valid are exchanged, too.
 */
import {
  type Clock,
  type Disposable,
  DisposableOwner,
  ErrorKind,
  type Fields,
  keepRunning,
  type Metrics,
  type RandomSource,
  ServiceError,
  toDisposable,
} from '@tanagerdyke/kernel';
import {
  checkedHandler,
  encodeNotification,
  type Member,
  type Membership,
  membersOfOwnZone,
  MemberStatus,
  type Transport,
} from '@tanagerdyke/mesh';
import { Result } from 'true-myth';
import type { DecisionLog } from '../DecisionLog.js';
import type { KeyedTable } from './KeyedTable.js';
import { type PollingDuties, pollingDutiesOf, rankedNames, relaysOf } from './PollerChoice.js';
import { RecordFetcher } from './RecordFetcher.js';
import { PIECE_BYTES, RecordSender } from './RecordSender.js';
import {
  encodeRecord,
  isBehind,
  parseProgress,
  type PieceResponse,
  PROGRESS_METHOD,
  RECORDS_METHOD,
  type RecordsRequest,
  recordsRequestSchema,
  type TopicProgress,
} from './RelayMessages.js';

const PROGRESS_INTERVAL_MS = 500;
/** Members of its zone that a node which does not poll notifies; limits messages in large zones. */
const ZONE_PEERS_PER_INTERVAL = 1;
/**
 * Share of the intervals in which a node notifies a random member of another zone, for zones whose
 * relays get no records; low, because traffic between zones is billed.
 */
const REMOTE_PEER_SHARE = 0.25;
/** A node polls the platform itself when no connected poller has reported for this long. */
const POLLER_TIMEOUT_MS = 2_500;
/** How long the report of a poller is valid for a relay that forwards it. */
const POLLER_REPORT_TTL_MS = 1_200;
/** A node with all records of this long ago counts as current; longer than a poll takes. */
const CURRENT_MS = 1_500;
/** How long a peer's report of an outage is valid; senders repeat it while the outage lasts. */
const OUTAGE_REPORT_TTL_MS = 1_200;
/**
 * For nodes of earlier releases, which take no pieces: a longer response would occupy the link of a
 * small host for too long; the platform has more bandwidth.
 */
const MAX_RESPONSE_BYTES = 100_000;
/** Shortest time between two longer responses to nodes that the platform does not answer. */
const WHOLE_COPY_INTERVAL_MS = 500;
/** Base64 characters for each byte of a value. */
const TEXT_EXPANSION = 4 / 3;
/** Time after a change at which dependents are notified again, since datagrams get lost. */
const REPEATED_NOTICE_DELAY_MS = 150;

export interface PeerRelayOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly transport: Transport;
  readonly membership: Membership;
  readonly tables: readonly KeyedTable[];
  /** Whether the platform responded to this node recently. */
  readonly isConnected: () => boolean;
  /** Time up to which the platform has confirmed to this node that it has all records. */
  readonly confirmedAt: () => number;
  /** Whether this node recently observed an outage of the platform. */
  readonly hadRecentOutage: () => boolean;
  /** Reads the missing records of a topic from the platform; returns whether it answered. */
  readonly catchUp: (topic: string) => Promise<boolean>;
  /** Longest recent delay of a timer of this process, in ms. */
  readonly timerDelayMs: () => number;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
}

/** Sends this node's end offsets to peers and exchanges missing records with them. */
export class PeerRelay extends DisposableOwner {
  private readonly _fetcher: RecordFetcher;
  private readonly _senders: ReadonlyMap<KeyedTable, RecordSender>;
  private _wholeCopySentAt = Number.NEGATIVE_INFINITY;
  private _repeatedNotice: Disposable | undefined;
  private readonly _startedAt: number;
  private _pollerConnectedAt: number;
  /** Time up to which a peer has confirmed that this node has all records. */
  private _peerConfirmedAt: number;
  /** By peer address: when a poller itself last reported that it is connected. */
  private readonly _directReports = new Map<string, number>();
  /** Derived from the members; undefined after one changed. */
  private _currentDuties: PollingDuties | undefined;
  /** By peer address: place among the nodes that may poll. Derived from the members, too. */
  private _currentRanks: ReadonlyMap<string, number> | undefined;
  private _outageReportedAt = Number.NEGATIVE_INFINITY;
  /** By topic: the progress of the ready peer that reported last. */
  private _readyProgress: ReadonlyMap<string, TopicProgress> | undefined;

  constructor(private readonly _options: PeerRelayOptions) {
    super();
    const { clock, membership, tables, transport } = _options;
    this.register(
      membership.onChange((member) => {
        this._currentDuties = undefined;
        this._currentRanks = undefined;
        this._welcome(member);
      }),
    );
    this._startedAt = clock.now();
    this._pollerConnectedAt = this._startedAt;
    this._peerConfirmedAt = this._startedAt;
    this._fetcher = this.register(new RecordFetcher(_options));
    const queuedBytes = (): number => transport.traffic.queuedBytes;
    this._senders = new Map(
      tables.map((table) => [table, new RecordSender(clock, table, queuedBytes)]),
    );
    this.register(
      toDisposable(() => {
        this._repeatedNotice?.dispose();
      }),
    );
    this.register(
      transport.onDatagram((payload) => {
        this._onDatagram(payload);
      }),
    );
    this.register(
      transport.handle(
        RECORDS_METHOD,
        checkedHandler(recordsRequestSchema, (request) => this._respond(request)),
      ),
    );
    for (const table of tables) {
      this.register(
        table.onChange(() => {
          this._notifyDependents();
        }),
      );
    }
  }

  /** Whether this node polls the platform, on behalf of the others or for want of a poller. */
  public get isPoller(): boolean {
    return this.isAppointedPoller || this._isWithoutPoller;
  }

  /** Whether this node polls the platform on behalf of the others. */
  public get isAppointedPoller(): boolean {
    return this._duties.isPoller;
  }

  /**
   * Latest time, on this node's clock, up to which this node is known to have had all records, by the
   * platform or by peers; the start of this node before either.
   */
  public get confirmedAt(): number {
    return Math.max(this._ownConfirmedAt, this._peerConfirmedAt);
  }

  /** Whether a peer recently reported an outage of the platform. */
  public get isOutageReported(): boolean {
    return this._options.clock.now() - this._outageReportedAt < OUTAGE_REPORT_TTL_MS;
  }

  /** Whether a peer has reported records that a table lacks. */
  public isBehind(table: KeyedTable): boolean {
    return this._fetcher.isBehind(table);
  }

  /** Whether a ready peer has reported its progress, and this node has all records that it has. */
  public get isConfirmed(): boolean {
    const progress = this._readyProgress;
    return (
      progress !== undefined &&
      this._options.tables.every((table) => {
        const each = progress.get(table.name);
        return each === undefined || !isBehind(table, each);
      })
    );
  }

  private get _ownConfirmedAt(): number {
    return Math.max(this._options.confirmedAt(), this._startedAt);
  }

  private get _duties(): PollingDuties {
    const { live, self } = this._options.membership;
    this._currentDuties ??= pollingDutiesOf(self.name, live);
    return this._currentDuties;
  }

  private get _ranks(): ReadonlyMap<string, number> {
    const { live } = this._options.membership;
    this._currentRanks ??= ranksByAddress(live);
    return this._currentRanks;
  }

  private get _isWithoutPoller(): boolean {
    const silenceMs = this._options.clock.now() - this._pollerConnectedAt;
    return (
      silenceMs > POLLER_TIMEOUT_MS && silenceMs > POLLER_TIMEOUT_MS + this._duties.takeoverDelayMs
    );
  }

  private get _zone(): readonly Member[] {
    return membersOfOwnZone(this._options.membership);
  }

  public start(): void {
    keepRunning(this._options.clock, this.disposalSignal, 'records.progress', () => this._run());
  }

  private async _run(): Promise<void> {
    const { clock } = this._options;
    const { disposalSignal: signal } = this;
    while (!signal.aborted) {
      this._sendProgress();
      await clock.sleep(PROGRESS_INTERVAL_MS, signal);
    }
  }

  /** Sends progress to a process that has just started, which waits for it before it serves. */
  private _welcome({ name, state, stateVersion, status }: Member): void {
    if (status === MemberStatus.Alive && stateVersion === 0 && !state.isReady) {
      this._sendProgressTo(this._dependents().filter((each) => each.name === name));
    }
  }

  /** Sends progress to those that rely on this node, and otherwise to a few peers. */
  private _sendProgress(): void {
    const { membership } = this._options;
    const zone = this._zone;
    const { availabilityZone } = membership.self;
    const remote = membership.live.filter((member) => member.availabilityZone !== availabilityZone);
    const dependents = this._dependents();
    const zonePeers =
      dependents.length > 0 ? dependents : this._pickRandomRun(zone, ZONE_PEERS_PER_INTERVAL);
    const notifiesRemote = this._options.random.next() < REMOTE_PEER_SHARE;
    const remotePeers = notifiesRemote ? this._pickRandomRun(remote, 1) : [];
    this._sendProgressTo([...zonePeers, ...remotePeers]);
  }

  /** The nodes that this one sends records to: a relay its zone, a poller also all relays. */
  private _dependents(): readonly Member[] {
    const { isPoller, isRelay } = this._duties;
    const zone = isRelay || this._isWithoutPoller ? this._zone : [];
    if (!isPoller) {
      return zone;
    }
    const { live, self } = this._options.membership;
    const remoteRelays = relaysOf(live).filter(
      ({ availabilityZone }) => availabilityZone !== self.availabilityZone,
    );
    return [...zone, ...remoteRelays];
  }

  /** Consecutive members of the list, wrapping around, from a new random position each time. */
  private _pickRandomRun(members: readonly Member[], count: number): readonly Member[] {
    if (members.length <= count) {
      return members;
    }
    const first = this._options.random.integer(members.length);
    return [...members.slice(first), ...members.slice(0, first)].slice(0, count);
  }

  /**
   * Notifies those that rely on this node of a change immediately and once more soon after, not only
   * at the next interval.
   */
  private _notifyDependents(): void {
    this._sendProgressTo(this._dependents());
    this._repeatedNotice ??= this._options.clock.schedule(REPEATED_NOTICE_DELAY_MS, () => {
      this._repeatedNotice = undefined;
      this._sendProgressTo(this._dependents());
    });
  }

  private _sendProgressTo(peers: readonly Member[]): void {
    const { clock, hadRecentOutage, isConnected, membership, tables, transport } = this._options;
    const ends = tables.map(({ name, end }) => [name, end]);
    const epochs = tables.map(({ earlierDigest, epoch }) => [epoch, earlierDigest]);
    const isDirect = this.isPoller && isConnected();
    // Pollers that repeated each other's reports would stay current without the platform.
    const confirmedAt = isDirect ? this._ownConfirmedAt : this.confirmedAt;
    const confirmedMs = Math.round(clock.now() - confirmedAt);
    const encode = (inTouch: boolean): string =>
      encodeNotification(PROGRESS_METHOD, {
        from: transport.address,
        inTouch,
        isDirect,
        confirmedMs: confirmedMs > CURRENT_MS ? confirmedMs : undefined,
        unsettled: hadRecentOutage(),
        ends,
        epochs,
      });
    const payloads = new Map<boolean, string>();
    for (const { name, peerAddress } of peers) {
      if (name !== membership.self.name) {
        const inTouch = isDirect || this._forwardsReportTo(peerAddress);
        const payload = payloads.get(inTouch) ?? encode(inTouch);
        payloads.set(inTouch, payload);
        transport.sendDatagram(peerAddress, payload);
      }
    }
  }

  /**
   * Whether this relay can report to a peer that a poller is connected. A node that polls in place of
   * the appointed ones must not be told by its own report, or that of a node that should leave
   * polling to it; it would stop, and nobody would poll until the others notice.
   */
  private _forwardsReportTo(peerAddress: string): boolean {
    const { clock } = this._options;
    return (
      this._duties.isRelay &&
      [...this._directReports].some(
        ([reporter, at]) =>
          clock.now() - at < POLLER_REPORT_TTL_MS && this._isRankedBefore(reporter, peerAddress),
      )
    );
  }

  private _isRankedBefore(address: string, other: string): boolean {
    const rankOf = (each: string): number => this._ranks.get(each) ?? Number.POSITIVE_INFINITY;
    return rankOf(address) < rankOf(other);
  }

  private _onDatagram(payload: string): void {
    const parsed = parseProgress(payload);
    if (parsed === undefined) {
      return;
    }
    if (parsed.inTouch) {
      this._recordReport(parsed.from, parsed.isDirect === true);
    }
    if (parsed.unsettled) {
      this._outageReportedAt = this._options.clock.now();
    }
    const progress = new Map(
      parsed.ends.map(([name, end], index) => {
        const [epoch, earlierDigest = ''] = parsed.epochs?.[index] ?? [];
        return [name, { end, epoch, earlierDigest }];
      }),
    );
    const { clock, membership, tables } = this._options;
    const { confirmedMs = parsed.inTouch ? 0 : undefined } = parsed;
    const hasAll = tables.every((table) => {
      const each = progress.get(table.name);
      return each !== undefined && !isBehind(table, each);
    });
    if (confirmedMs !== undefined && hasAll) {
      this._peerConfirmedAt = Math.max(this._peerConfirmedAt, clock.now() - confirmedMs);
    }
    if (membership.serving.some(({ peerAddress }) => peerAddress === parsed.from)) {
      this._readyProgress = progress;
    }
    for (const table of tables) {
      const each = progress.get(table.name);
      if (each !== undefined) {
        this._fetcher.recordProgress(parsed.from, table, each);
      }
    }
  }

  private _recordReport(from: string, isDirect: boolean): void {
    const { clock, isConnected, transport } = this._options;
    const now = clock.now();
    if (isDirect) {
      this._directReports.set(from, now);
      for (const [reporter, at] of this._directReports) {
        if (now - at >= POLLER_REPORT_TTL_MS) {
          this._directReports.delete(reporter);
        }
      }
      if (this.isPoller && isConnected() && this._isRankedBefore(transport.address, from)) {
        // The peer will leave polling to this node.
        return;
      }
    }
    this._pollerConnectedAt = now;
  }

  private _respond(request: RecordsRequest): Result<unknown, ServiceError> {
    const { after, epoch, topic } = request;
    const table = this._options.tables.find(({ name }) => name === topic);
    if (table === undefined) {
      return Result.err(
        new ServiceError(ErrorKind.BadRequest, `topic '${topic}' does not exist on this node`, {
          remedy: 'run the same version on all nodes',
        }),
      );
    }
    const isSameEpoch = epoch === undefined || epoch === table.epoch;
    const records = table.recordsFrom(isSameEpoch ? after : 0);
    const bytes = records.reduce((sum, { value }) => sum + (value?.length ?? 0), 0);
    const textBytes = Math.ceil(bytes * TEXT_EXPANSION);
    const position = { epoch: table.epoch, end: table.end, isKnown: table.hasSnapshot };
    const { from, piece } = request;
    const isContinued = piece?.digest !== undefined;
    if (from !== undefined && piece !== undefined && (isContinued || textBytes > PIECE_BYTES)) {
      const response = this._senders.get(table)?.respond(from, isSameEpoch ? after : 0, piece);
      this._logPiece(request, response);
      return Result.ok({ ...position, isTooLong: false, records: [], ...response });
    }
    const isTooLong = textBytes > MAX_RESPONSE_BYTES && !this._admitsWholeCopy(request);
    this._logSent(request, { bytes: isTooLong ? 0 : textBytes, isTooLong });
    return Result.ok({
      ...position,
      isTooLong,
      records: isTooLong ? [] : records.map(encodeRecord),
      earlier: table.earlierRecords.map((each) => {
        const [key, offset, value] = encodeRecord(each);
        return [key, each.epoch, offset, value] as const;
      }),
    });
  }

  /**
   * While the platform is unreachable, a peer is the only source of the records. A node that does not
   * poll can't tell whether it is; the requester asks again if it gets no answer.
   */
  private _admitsWholeCopy({ isPlatformLost }: RecordsRequest): boolean {
    const { clock, isConnected } = this._options;
    const isOnlySource = isPlatformLost === true || (this.isPoller && !isConnected());
    if (!isOnlySource || clock.now() - this._wholeCopySentAt < WHOLE_COPY_INTERVAL_MS) {
      return false;
    }
    this._wholeCopySentAt = clock.now();
    return true;
  }

  /** Logs the first piece of a copy and refusals. */
  private _logPiece(request: RecordsRequest, response: PieceResponse | undefined): void {
    if (response?.busy !== undefined) {
      const { from, topic } = request;
      const sources = response.busy.sources.length;
      this._options.log.write('records.refused', { topic, peer: from, sources });
    } else if (response?.piece?.start === 0) {
      this._logSent(request, { bytes: response.piece.total, isTooLong: false });
    }
  }

  private _logSent({ after, from, topic }: RecordsRequest, fields: Fields): void {
    const linkBytesQueued = this._options.transport.traffic.queuedBytes;
    this._options.log.write('records.sent', {
      topic,
      peer: from,
      after,
      ...fields,
      linkBytesQueued,
    });
  }
}

function ranksByAddress(live: readonly Member[]): ReadonlyMap<string, number> {
  const ranks = new Map(rankedNames(live).map((name, rank) => [name, rank]));
  return new Map(
    live.map(({ name, peerAddress }) => [peerAddress, ranks.get(name) ?? ranks.size] as const),
  );
}
