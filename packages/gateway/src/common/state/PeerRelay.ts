/**
 * Hands what the platform says on between nodes, so that a node which the platform turns away, or
 * which starts during an outage, still follows. Each node tells peers how far it is; whoever is
 * behind asks one that is ahead for what it lacks.
 */
import {
  type Clock,
  DisposableOwner,
  ErrorKind,
  type RandomSource,
  ServiceError,
} from '@tanagerdyke/kernel';
import {
  bySchema,
  checkedHandler,
  encodeNotification,
  type Member,
  type Membership,
  membersOfOwnZone,
  notificationParser,
  type Transport,
} from '@tanagerdyke/mesh';
import { Result } from 'true-myth';
import * as z from 'zod';
import type { DecisionLog } from '../DecisionLog.js';
import type { KeyedRecord } from '../services/Services.js';
import type { KeyedTable } from './KeyedTable.js';

const PROGRESS_METHOD = 'gateway.progress';
const RECORDS_METHOD = 'gateway.records';
const PROGRESS_INTERVAL_MS = 500;
/** Peers of the own zone told in one interval; a bound for large systems. */
const ZONE_PEERS_TOLD = 4;
/** Peers of other zones told in one interval; bytes between zones cost money. */
const REMOTE_PEERS_TOLD = 1;
/** Nodes of a zone that poll the platform for all. */
const POLLERS_PER_ZONE = 2;
/** Without news of a poller in touch with the platform for this long, a node polls itself. */
const POLLER_SILENCE_MS = 2_500;
/** News of an outage counts this long; senders repeat it while it lasts. */
const OUTAGE_NEWS_MS = 1_200;
/** A longer answer would take a small host's link too long; the platform has more room. */
const MAX_ANSWER_BYTES = 100_000;
const FETCH_TIMEOUT_MS = 1_000;
/** A record on its way from the platform usually arrives before a fetch would bring it. */
const FETCH_DELAY_MS = 60;

const progressSchema = z.object({
  from: z.string(),
  /** Whether the sender is in touch with the platform. */
  inTouch: z.boolean(),
  /** Whether the sender saw an outage of the platform lately. */
  unsettled: z.boolean(),
  ends: z.array(z.tuple([z.string(), z.number().int()])),
});

const parseProgress = notificationParser(PROGRESS_METHOD, bySchema(progressSchema));

const questionSchema = z.object({ topic: z.string(), after: z.number().int() });

const recordsSchema = z.object({
  end: z.number().int(),
  isKnown: z.boolean(),
  /** Whether there is more than an answer takes. */
  isTooLong: z.boolean(),
  records: z.array(z.tuple([z.string(), z.number().int(), z.string().nullable()])),
});

/** What the relay needs. */
export interface RelayOptions {
  readonly clock: Clock;
  readonly random: RandomSource;
  readonly transport: Transport;
  readonly membership: Membership;
  readonly tables: readonly KeyedTable[];
  /** Whether the platform answered this node lately. */
  readonly isInTouch: () => boolean;
  /** Whether this node saw an outage of the platform lately. */
  readonly isUnsettled: () => boolean;
  /** Reads a topic from the platform. */
  readonly catchUp: (topic: string) => Promise<void>;
  readonly log: DecisionLog;
}

/** The relay of one node. */
export class PeerRelay extends DisposableOwner {
  private readonly _fetching = new Set<string>();
  private _pollerHeardAt: number;
  private _unsettledHeardAt = Number.NEGATIVE_INFINITY;

  constructor(private readonly _options: RelayOptions) {
    super();
    const { clock, tables, transport } = _options;
    this._pollerHeardAt = clock.now();
    this.register(transport.onDatagram((payload) => void this._onDatagram(payload)));
    this.register(
      transport.handle(
        RECORDS_METHOD,
        checkedHandler(questionSchema, (question) => this._answer(question)),
      ),
    );
    for (const table of tables) {
      this.register(
        table.onChange(() => {
          this._tellZone();
        }),
      );
    }
  }

  /** Whether this node polls the platform for its zone. */
  public get isPoller(): boolean {
    const { clock, membership } = this._options;
    const names = this._zone.map(({ name }) => name).sort();
    const rank = names.indexOf(membership.self.name);
    return rank < POLLERS_PER_ZONE || clock.now() - this._pollerHeardAt > POLLER_SILENCE_MS;
  }

  /** When a poller of the own zone last said that it is in touch with the platform. */
  public get pollerHeardAt(): number {
    return this._pollerHeardAt;
  }

  /** Whether a peer told lately of an outage of the platform. */
  public get heardOfOutage(): boolean {
    return this._options.clock.now() - this._unsettledHeardAt < OUTAGE_NEWS_MS;
  }

  private get _zone(): readonly Member[] {
    return membersOfOwnZone(this._options.membership);
  }

  public start(): void {
    void this._run();
  }

  private async _run(): Promise<void> {
    const { clock } = this._options;
    const { disposal: signal } = this;
    while (!signal.aborted) {
      this._tell();
      await clock.sleep(PROGRESS_INTERVAL_MS, signal);
    }
  }

  /** Tells a few peers; one that polls for its zone tells all of it. */
  private _tell(): void {
    const { membership } = this._options;
    const zone = this._zone;
    const { availabilityZone } = membership.self;
    const remote = membership.live.filter((member) => member.availabilityZone !== availabilityZone);
    const near = this.isPoller ? zone : this._draw(zone, ZONE_PEERS_TOLD);
    this._send([...near, ...this._draw(remote, REMOTE_PEERS_TOLD)]);
  }

  /** Neighbours in a list, from a place that is drawn anew each time. */
  private _draw(members: readonly Member[], count: number): readonly Member[] {
    if (members.length <= count) {
      return members;
    }
    const first = this._options.random.integer(members.length);
    return [...members.slice(first), ...members.slice(0, first)].slice(0, count);
  }

  /** Tells the zone at once of what this node learned from the platform. */
  private _tellZone(): void {
    if (this.isPoller) {
      this._send(this._zone);
    }
  }

  private _send(peers: readonly Member[]): void {
    const { isInTouch, isUnsettled, membership, tables, transport } = this._options;
    const ends = tables.map(({ name, end }) => [name, end]);
    const params = {
      from: transport.address,
      inTouch: this.isPoller && isInTouch(),
      unsettled: isUnsettled(),
      ends,
    };
    const payload = encodeNotification(PROGRESS_METHOD, params);
    for (const { name, peerAddress } of peers) {
      if (name !== membership.self.name) {
        transport.sendDatagram(peerAddress, payload);
      }
    }
  }

  private async _onDatagram(payload: string): Promise<void> {
    const parsed = parseProgress(payload);
    if (parsed === undefined) {
      return;
    }
    if (parsed.inTouch && this._zone.some(({ peerAddress }) => peerAddress === parsed.from)) {
      this._pollerHeardAt = this._options.clock.now();
    }
    if (parsed.unsettled) {
      this._unsettledHeardAt = this._options.clock.now();
    }
    for (const [name, end] of parsed.ends) {
      const table = this._options.tables.find((each) => each.name === name);
      if (table !== undefined && end > table.end) {
        await this._fetch(parsed.from, table, end);
      }
    }
  }

  private async _fetch(peer: string, table: KeyedTable, end: number): Promise<void> {
    const { catchUp, clock, log, transport } = this._options;
    if (this._fetching.has(table.name)) {
      return;
    }
    this._fetching.add(table.name);
    if (table.isKnown) {
      await clock.sleep(FETCH_DELAY_MS, this.disposal);
    }
    if (end > table.end) {
      const after = table.isKnown ? table.end : 0;
      const question = { topic: table.name, after };
      const answer = await transport.request(peer, RECORDS_METHOD, question, FETCH_TIMEOUT_MS);
      const parsed = answer.isOk ? recordsSchema.safeParse(answer.value) : undefined;
      if (parsed?.success === true && parsed.data.isTooLong) {
        await catchUp(table.name);
      } else if (parsed?.success === true) {
        this._take(table, parsed.data);
        log.note('records.fetched', { topic: table.name, peer, after, end: parsed.data.end });
      } else {
        const cause = answer.isErr ? answer.error.message : 'malformed answer';
        log.note('records.unfetched', { topic: table.name, peer, after, cause });
      }
    }
    this._fetching.delete(table.name);
  }

  private _take(table: KeyedTable, answer: z.infer<typeof recordsSchema>): void {
    const records = answer.records.map(([key, offset, value]): KeyedRecord => ({
      key,
      offset,
      value: value === null ? undefined : Buffer.from(value, 'base64'),
    }));
    if (table.isKnown || !answer.isKnown) {
      table.apply(records, answer.end);
    } else {
      const present = records.filter(({ value }) => value !== undefined);
      table.replace({ records: present, end: answer.end });
    }
  }

  private _answer({ after, topic }: z.infer<typeof questionSchema>): Result<unknown, ServiceError> {
    const table = this._options.tables.find(({ name }) => name === topic);
    if (table === undefined) {
      return Result.err(
        new ServiceError(ErrorKind.BadRequest, `this node has no topic '${topic}'`, {
          remedy: 'run the same version on all nodes',
        }),
      );
    }
    const records = table
      .since(after)
      .map(({ key, offset, value }) => [key, offset, value?.toString('base64') ?? null] as const);
    const length = records.reduce((sum, [, , value]) => sum + (value?.length ?? 0), 0);
    // Without the platform the long answer is the only one.
    const isTooLong = length > MAX_ANSWER_BYTES && this._options.isInTouch();
    const { end, isKnown } = table;
    return Result.ok({ end, isKnown, isTooLong, records: isTooLong ? [] : records });
  }
}
