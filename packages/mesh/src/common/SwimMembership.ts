/**
 * SWIM membership: each protocol period a node probes one random member, first directly and then
 * indirectly through other members, and suspects it before declaring it dead. The cost per node
 * does not depend on the number of members. Membership updates and the state of each node are
 * piggybacked on the probe messages.
 */
import {
  type Clock,
  DisposableOwner,
  Emitter,
  keepRunning,
  type RandomSource,
  runInBackground,
  type TimeLine,
  toDisposable,
} from '@tanagerdyke/kernel';
import { AckTable } from './AckTable.js';
import { UpdateKind } from './GossipQueue.js';
import { decodeMember, isWireMemberLive, type WireMember } from './MemberCodec.js';
import { MemberSync } from './MemberSync.js';
import { isLive, MemberTable } from './MemberTable.js';
import { type Member, type MemberState, MemberStatus } from './Messages.js';
import { parseProbeMessage, type ProbeMessage, ProbeKind } from './ProbeMessages.js';
import { ProbeOrder } from './ProbeOrder.js';
import { SeedJoiner } from './SeedJoiner.js';
import type { Membership, Transport } from './services/Services.js';
import { SUSPICION_TIMEOUT_MS, SuspicionTracker } from './SuspicionTracker.js';
import { UpdateDisseminator } from './UpdateDisseminator.js';

/** Protocol period: time between two probes that a node starts. */
const PROBE_INTERVAL_MS = 400;
/** Time to wait for the ack of a direct ping before sending indirect pings. */
const DIRECT_PING_TIMEOUT_MS = 150;
/** Members that relay an indirect ping for one probe. */
const INDIRECT_PING_RELAYS = 3;
/** Minimum time between two requests for the full records of unknown members. */
const MEMBER_REQUEST_INTERVAL_MS = 250;
/** Peers that a leaving node notifies. */
const LEAVE_NOTIFICATIONS = 6;

export interface SwimMembershipOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly transport: Transport;
  readonly timeLine: TimeLine;
  /** This node's own record, with its first incarnation. */
  readonly self: Member;
  /** `IP:port` of the nodes to join through; may include this node. */
  readonly seeds: readonly string[];
  /** Whether urgent updates are also pushed over the overlay. Defaults to true. */
  readonly isEagerPushEnabled?: boolean;
}

/** Probes peers, merges the updates it receives and publishes the state of its own node. */
export class SwimMembership extends DisposableOwner implements Membership {
  private readonly _table = new MemberTable();
  private readonly _disseminator: UpdateDisseminator;
  private readonly _acks: AckTable;
  private readonly _probeOrder: ProbeOrder;
  private readonly _suspicions: SuspicionTracker;
  private readonly _onChange = this.register(new Emitter<Member>());
  public readonly onChange = this._onChange.event;
  private readonly _abort = new AbortController();
  private readonly _joiner: SeedJoiner;
  private readonly _sync: MemberSync;
  private _self: Member;
  private _lastContactAt = Number.NEGATIVE_INFINITY;
  private _resumedAt = Number.NEGATIVE_INFINITY;
  /** When the probe loop last ran; a large gap means that the process was paused. */
  private _lastProbeRoundAt: number;
  /** Whether this node was paused and no peer has acked a ping of it since. */
  private _isAwaitingPeerAck = false;
  private _membersRequestedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly _options: SwimMembershipOptions) {
    super();
    this._self = _options.self;
    this._table.merge(this._self);
    this.register(
      toDisposable(() => {
        this._abort.abort();
      }),
    );
    this.register(
      _options.transport.onDatagram((payload) => {
        this._receive(payload);
      }),
    );
    const { clock, isEagerPushEnabled = true, random, seeds, transport } = _options;
    this._acks = new AckTable(clock);
    this._probeOrder = new ProbeOrder(this._table, random, this._self.name);
    this._sync = this.register(
      new MemberSync({
        clock,
        table: this._table,
        request: (address, known) => this._joiner.requestMissing(address, known),
      }),
    );
    this._disseminator = new UpdateDisseminator({
      transport,
      table: this._table,
      digest: () => this._sync.digest,
      self: () => this._self,
      isEagerPushEnabled,
    });
    const merge = (members: readonly Member[]): void => {
      this._merge(members);
    };
    this._suspicions = this.register(
      new SuspicionTracker({
        clock,
        random,
        timeLine: _options.timeLine,
        table: this._table,
        acks: this._acks,
        disseminator: this._disseminator,
        merge,
        isRecoveringFromPause: () => this._wasPaused() || this._isAwaitingPeerAck,
      }),
    );
    this._joiner = this.register(
      new SeedJoiner({
        clock,
        random,
        transport,
        seeds,
        table: this._table,
        self: () => this._self,
        merge,
      }),
    );
    this._lastProbeRoundAt = clock.now();
    this.register(
      this._table.onChange((member) => {
        this._onChange.fire(member);
      }),
    );
  }

  /** Starts probing and joining, until disposed. */
  public start(): void {
    keepRunning(this._options.clock, this._abort.signal, 'member.probes', () => this._runProbes());
    this._lastProbeRoundAt = this._options.clock.now();
    keepRunning(this._options.clock, this._abort.signal, 'member.join', () => this._joiner.run());
  }

  public get self(): Member {
    return this._self;
  }

  public get live(): readonly Member[] {
    return this._table.all.filter(isLive);
  }

  public get serving(): readonly Member[] {
    return this.live.filter(({ state }) => state.isReady && !state.isDraining);
  }

  public get lastContactAt(): number {
    return this._lastContactAt;
  }

  public get resumedAt(): number {
    return this._resumedAt;
  }

  /** Whether peers can be expected to list this node as live: not paused, or acked by one since. */
  public get isConfirmed(): boolean {
    return !this._isAwaitingPeerAck && !this._wasPaused();
  }

  public find(name: string): Member | undefined {
    return this._table.find(name);
  }

  public publish(state: Partial<MemberState>): void {
    const stateVersion = this._self.stateVersion + 1;
    this._updateSelf({ state: { ...this._self.state, ...state }, stateVersion }, UpdateKind.State);
  }

  /** Exchanges member lists with the node at a peer address obtained from another source. */
  public joinThrough(address: string): Promise<void> {
    return this._joiner.joinThrough(address);
  }

  public leave(): Promise<void> {
    this._updateSelf({ status: MemberStatus.Left }, UpdateKind.Status);
    // No ping has this id, so receivers only merge the members that the ack carries.
    for (const peer of this._probeOrder.choose(LEAVE_NOTIFICATIONS, [])) {
      this._disseminator.sendMessage(peer.peerAddress, ProbeKind.Ack, 'leave');
    }
    this._abort.abort();
    return Promise.resolve();
  }

  private _updateSelf(change: Partial<Member>, kind: UpdateKind): void {
    const previous = this._self;
    this._self = { ...previous, ...change };
    this._table.merge(this._self);
    this._disseminator.disseminate(this._self, previous, kind);
  }

  private async _runProbes(): Promise<void> {
    const { clock } = this._options;
    const { signal } = this._abort;
    while (!signal.aborted) {
      await clock.sleep(PROBE_INTERVAL_MS, signal);
      this._detectPause();
      const target = this._probeOrder.next();
      if (target !== undefined) {
        runInBackground('member.probe', () => this._probe(target));
      }
    }
  }

  /** Whether the probe loop is so late that peers may have suspected this node and timed it out. */
  private _wasPaused(): boolean {
    return (
      this._options.clock.now() - this._lastProbeRoundAt > PROBE_INTERVAL_MS + SUSPICION_TIMEOUT_MS
    );
  }

  /**
   * Detects a pause of this process. Peers may have declared the node dead in the meantime, so it
   * raises its incarnation.
   */
  private _detectPause(): void {
    const { clock, timeLine } = this._options;
    if (this._wasPaused()) {
      timeLine.record('member.paused', { forMs: clock.now() - this._lastProbeRoundAt });
      this._updateSelf({ incarnation: this._self.incarnation + 1 }, UpdateKind.Status);
      timeLine.setIncarnation(this._self.incarnation);
      this._isAwaitingPeerAck = this._probeOrder.peers.length > 0;
      this._resumedAt = clock.now();
    }
    this._lastProbeRoundAt = clock.now();
  }

  private async _probe(target: Member): Promise<void> {
    const id = this._options.random.identifier();
    const acked = this._acks.waitFor(id, PROBE_INTERVAL_MS - 1);
    this._disseminator.sendMessage(target.peerAddress, ProbeKind.Ping, id);
    await this._options.clock.sleep(DIRECT_PING_TIMEOUT_MS, this._abort.signal);
    if (this._acks.isPending(id)) {
      for (const relay of this._probeOrder.choose(INDIRECT_PING_RELAYS, [target.name])) {
        this._disseminator.sendMessage(relay.peerAddress, ProbeKind.IndirectPing, id, {
          target: target.peerAddress,
        });
      }
    }
    // If this node was paused during the probe, a missing ack says nothing about the target.
    if (!(await acked) && !this.isDisposed && !this._wasPaused()) {
      this._suspicions.suspect(target);
    }
  }

  private _receive(payload: string): void {
    const message = parseProbeMessage(payload);
    if (message === undefined) {
      return;
    }
    this._lastContactAt = this._options.clock.now();
    this._mergeUpdates(message.from, message.members);
    if (this._self.status === MemberStatus.Left) {
      return;
    }
    this._handlers[message.kind](message);
    if (message.digest !== undefined) {
      this._sync.handleDigest(message.from, message.digest);
    }
  }

  private readonly _handlers: Record<ProbeKind, (message: ProbeMessage) => void> = {
    [ProbeKind.Ping]: (message) => {
      this._disseminator.sendMessage(message.from, ProbeKind.Ack, message.id);
    },
    [ProbeKind.Ack]: (message) => {
      this._handleAck(message.id);
    },
    // `_receive` has already merged the members that it carries.
    [ProbeKind.Update]: () => undefined,
    [ProbeKind.IndirectPing]: (message) => {
      runInBackground('member.relayed-probe', () => this._relayPing(message));
    },
  };

  private _handleAck(id: string): void {
    if (this._acks.resolve(id)) {
      this._isAwaitingPeerAck = false;
    }
  }

  /** Pings the target of an indirect ping and forwards its ack to the sender. */
  private async _relayPing(message: ProbeMessage): Promise<void> {
    if (message.target === undefined) {
      return;
    }
    const id = this._options.random.identifier();
    const acked = this._acks.waitFor(id, DIRECT_PING_TIMEOUT_MS);
    this._disseminator.sendMessage(message.target, ProbeKind.Ping, id);
    if (await acked) {
      this._disseminator.sendMessage(message.from, ProbeKind.Ack, message.id);
    }
  }

  /**
   * Merges the updates that a message carries. When one is about a process whose location is
   * unknown, requests its record from the sender.
   */
  private _mergeUpdates(sender: string, updates: readonly WireMember[]): void {
    const decoded = updates.map((update) => decodeMember(update, this._findProcess(update)));
    this._merge(decoded.filter((member) => member !== undefined));
    const unknown = updates.filter(
      (update, index) => decoded[index] === undefined && isWireMemberLive(update),
    );
    const { clock } = this._options;
    if (
      unknown.length > 0 &&
      clock.now() - this._membersRequestedAt >= MEMBER_REQUEST_INTERVAL_MS
    ) {
      this._membersRequestedAt = clock.now();
      const names = unknown.map(([name]) => name);
      runInBackground('member.request', () => this._joiner.requestMembers(sender, names));
    }
  }

  /** Returns the table's record of the process that an update is about, if it has one. */
  private _findProcess([name, startedAt]: WireMember): Member | undefined {
    const known = this._table.find(name);
    const isSame = name === this._self.name || known?.startedAt === startedAt;
    return isSame ? known : undefined;
  }

  private _merge(members: readonly Member[]): void {
    for (const member of members) {
      const known = this._table.find(member.name);
      if (member.name === this._self.name) {
        this._refute(member);
      } else if (this._table.merge(member)) {
        this._disseminator.disseminate(member, known, classifyUpdate(member, known));
        this._suspicions.handleStatusChange(member);
      }
    }
  }

  /** Refutes an update about this node that would override its own, with a higher incarnation. */
  private _refute(update: Member): void {
    const needsNoRefutation =
      update.incarnation < this._self.incarnation ||
      (update.incarnation === this._self.incarnation && update.status === MemberStatus.Alive);
    if (needsNoRefutation || this._self.status === MemberStatus.Left) {
      return;
    }
    this._options.timeLine.record('member.refuted', { status: update.status });
    const incarnation = Math.max(update.incarnation, this._self.incarnation) + 1;
    this._updateSelf({ incarnation }, UpdateKind.Status);
    this._options.timeLine.setIncarnation(this._self.incarnation);
  }
}

/** Classifies an update by its difference from the record that it replaced. */
function classifyUpdate(member: Member, known: Member | undefined): UpdateKind {
  if (known?.startedAt !== member.startedAt) {
    return UpdateKind.Introduction;
  }
  const isSame = known.status === member.status && known.incarnation === member.incarnation;
  return isSame ? UpdateKind.State : UpdateKind.Status;
}
