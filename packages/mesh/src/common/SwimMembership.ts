/**
 * Membership by SWIM-style probing: one random member is probed each period, directly and then
 * through others, and is suspected before it is declared dead. Cost per node does not depend on the
 * number of members. News and the state of each node ride on the probes.
 */
import {
  type Clock,
  DisposableOwner,
  Emitter,
  type RandomSource,
  type TimeLine,
  toDisposable,
} from '@tanagerdyke/kernel';
import { AckTable } from './AckTable.js';
import { NewsKind } from './GossipQueue.js';
import { decodeMember, isLiveOnWire, type WireMember } from './MemberCodec.js';
import { isLive, MemberTable } from './MemberTable.js';
import { type Member, type MemberState, MemberStatus } from './Messages.js';
import { NewsSpreader } from './NewsSpreader.js';
import { parseProbe, type Probe, ProbeKind } from './ProbeMessages.js';
import { ProbeOrder } from './ProbeOrder.js';
import { SeedJoiner } from './SeedJoiner.js';
import type { Membership, Transport } from './services/Services.js';
import { SUSPICION_MS, SuspicionWatch } from './SuspicionWatch.js';

/** Time between two probes of a node. */
const PROBE_INTERVAL_MS = 400;
/** Wait for a direct ack before asking others. */
const DIRECT_TIMEOUT_MS = 150;
/** Members asked to probe on this node's behalf. */
const INDIRECT_PROBES = 3;
/** Least time between two requests for members that others mention. */
const LEARN_INTERVAL_MS = 1_000;
/** Copies of the last word of a leaving node. */
const LEAVE_COPIES = 6;

/** What a membership needs. */
export interface SwimOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly transport: Transport;
  readonly timeLine: TimeLine;
  /** This node, with its first incarnation. */
  readonly self: Member;
  /** `IP:port` of nodes to join through; may include this node. */
  readonly seeds: readonly string[];
  /** Whether news is also pushed through the overlay; it is by default. */
  readonly isPushing?: boolean;
}

/** The membership of one node. */
export class SwimMembership extends DisposableOwner implements Membership {
  private readonly _table = new MemberTable();
  private readonly _news: NewsSpreader;
  private readonly _acks: AckTable;
  private readonly _order: ProbeOrder;
  private readonly _suspicions: SuspicionWatch;
  private readonly _onChange = this.register(new Emitter<Member>());
  public readonly onChange = this._onChange.event;
  private readonly _abort = new AbortController();
  private readonly _joiner: SeedJoiner;
  private _self: Member;
  private _heardAt = Number.NEGATIVE_INFINITY;
  private _resumedAt = Number.NEGATIVE_INFINITY;
  /** When the probe task last ran. */
  private _tickedAt: number;
  /** Whether this node was paused and no peer has answered it since. */
  private _awaitsPeer = false;
  private _learnedAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly _options: SwimOptions) {
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
    const { clock, isPushing = true, random, seeds, transport } = _options;
    this._acks = new AckTable(clock);
    this._order = new ProbeOrder(this._table, random, this._self.name);
    this._news = new NewsSpreader({
      transport,
      table: this._table,
      self: () => this._self,
      isPushing,
    });
    const merge = (members: readonly Member[]): void => {
      this._merge(members);
    };
    this._suspicions = this.register(
      new SuspicionWatch({
        clock,
        random,
        timeLine: _options.timeLine,
        table: this._table,
        acks: this._acks,
        news: this._news,
        merge,
        isHeldUp: () => this._wasPaused() || this._awaitsPeer,
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
    this._tickedAt = clock.now();
    this.register(
      this._table.onChange((member) => {
        this._onChange.fire(member);
      }),
    );
  }

  /** Starts to probe and to join; both end when this is disposed. */
  public start(): void {
    void this._probeTask();
    this._tickedAt = this._options.clock.now();
    void this._joiner.run();
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

  public get heardAt(): number {
    return this._heardAt;
  }

  public get resumedAt(): number {
    return this._resumedAt;
  }

  /** Whether the others may still count this node in: it wasn't paused, or a peer answered since. */
  public get isConfirmed(): boolean {
    return !this._awaitsPeer && !this._wasPaused();
  }

  public find(name: string): Member | undefined {
    return this._table.find(name);
  }

  public publish(state: Partial<MemberState>): void {
    const stateVersion = this._self.stateVersion + 1;
    this._setSelf({ state: { ...this._self.state, ...state }, stateVersion }, NewsKind.State);
  }

  /** Exchanges members with the node at a peer address that was learned elsewhere. */
  public joinThrough(address: string): Promise<void> {
    return this._joiner.joinThrough(address);
  }

  public leave(): Promise<void> {
    this._setSelf({ status: MemberStatus.Left }, NewsKind.Status);
    for (const peer of this._order.choose(LEAVE_COPIES, [])) {
      this._news.send(peer.peerAddress, ProbeKind.Ack, 'leave');
    }
    this._abort.abort();
    return Promise.resolve();
  }

  private _setSelf(change: Partial<Member>, kind: NewsKind): void {
    const before = this._self;
    this._self = { ...before, ...change };
    this._table.merge(this._self);
    this._news.spread(this._self, before, kind);
  }

  private async _probeTask(): Promise<void> {
    const { clock } = this._options;
    const { signal } = this._abort;
    while (!signal.aborted) {
      await clock.sleep(PROBE_INTERVAL_MS, signal);
      this._noticePause();
      const target = this._order.next();
      if (target !== undefined) {
        void this._probe(target);
      }
    }
  }

  private _wasPaused(): boolean {
    return this._options.clock.now() - this._tickedAt > PROBE_INTERVAL_MS + SUSPICION_MS;
  }

  /** After a pause the others may have declared this node dead, so it comes back as a new one. */
  private _noticePause(): void {
    const { clock, timeLine } = this._options;
    if (this._wasPaused()) {
      timeLine.record('member.paused', { forMs: clock.now() - this._tickedAt });
      this._setSelf({ incarnation: this._self.incarnation + 1 }, NewsKind.Status);
      timeLine.setIncarnation(this._self.incarnation);
      this._awaitsPeer = this._order.peers.length > 0;
      this._resumedAt = clock.now();
    }
    this._tickedAt = clock.now();
  }

  private async _probe(target: Member): Promise<void> {
    const id = this._options.random.identifier();
    const acked = this._acks.expect(id, PROBE_INTERVAL_MS - 1);
    this._news.send(target.peerAddress, ProbeKind.Ping, id);
    await this._options.clock.sleep(DIRECT_TIMEOUT_MS, this._abort.signal);
    if (this._acks.isPending(id)) {
      for (const helper of this._order.choose(INDIRECT_PROBES, [target.name])) {
        this._news.send(helper.peerAddress, ProbeKind.IndirectPing, id, {
          target: target.peerAddress,
        });
      }
    }
    // A probe that a pause of this node fell into says nothing about the target.
    if (!(await acked) && !this.isDisposed && !this._wasPaused()) {
      this._suspicions.suspect(target);
    }
  }

  private _receive(payload: string): void {
    const probe = parseProbe(payload);
    if (probe === undefined) {
      return;
    }
    this._heardAt = this._options.clock.now();
    this._mergeFrom(probe.from, probe.members);
    if (this._self.status === MemberStatus.Left) {
      return;
    }
    this._answer[probe.kind](probe);
  }

  private readonly _answer: Record<ProbeKind, (probe: Probe) => void> = {
    [ProbeKind.Ping]: (probe) => {
      this._news.send(probe.from, ProbeKind.Ack, probe.id);
    },
    [ProbeKind.Ack]: (probe) => {
      this._takeAck(probe.id);
    },
    // Its members were merged before.
    [ProbeKind.News]: () => undefined,
    [ProbeKind.IndirectPing]: (probe) => {
      void this._forwardPing(probe);
    },
  };

  private _takeAck(id: string): void {
    if (this._acks.take(id)) {
      this._awaitsPeer = false;
    }
  }

  private async _forwardPing(probe: Probe): Promise<void> {
    if (probe.target === undefined) {
      return;
    }
    const id = this._options.random.identifier();
    const acked = this._acks.expect(id, DIRECT_TIMEOUT_MS);
    this._news.send(probe.target, ProbeKind.Ping, id);
    if (await acked) {
      this._news.send(probe.from, ProbeKind.Ack, probe.id);
    }
  }

  /** Takes in what rode on a datagram; processes that aren't known are asked for at the sender. */
  private _mergeFrom(sender: string, updates: readonly WireMember[]): void {
    const decoded = updates.map((update) => decodeMember(update, this._findProcess(update)));
    this._merge(decoded.filter((member) => member !== undefined));
    const isUnknown = updates.some(
      (update, index) => decoded[index] === undefined && isLiveOnWire(update),
    );
    const { clock } = this._options;
    if (isUnknown && clock.now() - this._learnedAt >= LEARN_INTERVAL_MS) {
      this._learnedAt = clock.now();
      void this._joiner.joinThrough(sender);
    }
  }

  /** The process that an update is about, as far as it is known. */
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
        this._news.spread(member, known, newsOf(member, known));
        this._suspicions.watch(member);
      }
    }
  }

  /** Answers a rumour about this node with a higher incarnation. */
  private _refute(rumour: Member): void {
    const isHarmless =
      rumour.incarnation < this._self.incarnation ||
      (rumour.incarnation === this._self.incarnation && rumour.status === MemberStatus.Alive);
    if (isHarmless || this._self.status === MemberStatus.Left) {
      return;
    }
    this._options.timeLine.record('member.refuted', { status: rumour.status });
    const incarnation = Math.max(rumour.incarnation, this._self.incarnation) + 1;
    this._setSelf({ incarnation }, NewsKind.Status);
    this._options.timeLine.setIncarnation(this._self.incarnation);
  }
}

/** What a merged update tells those who know what this node knew before. */
function newsOf(member: Member, known: Member | undefined): NewsKind {
  if (known?.startedAt !== member.startedAt) {
    return NewsKind.Introduction;
  }
  const isSame = known.status === member.status && known.incarnation === member.incarnation;
  return isSame ? NewsKind.State : NewsKind.Status;
}
