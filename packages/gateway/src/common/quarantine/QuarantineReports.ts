/**
 * Shares crashes, answers and quarantines among all nodes, and stores quarantines on the
 * platform, since the nodes have no disk and may all restart at once. In messages, causes are called
 * parts and targets engines, as in releases that counted crashes by the parts of prompts only. One node announces each
 * quarantine every second, for nodes that restarted or missed the report; the next one in rank takes
 * over when it is silent. A node that lost most of the others reads the stored quarantines.
 */
import {
  chunksOf,
  type Clock,
  DisposableOwner,
  keepRunning,
  runInBackground,
} from '@tanagerdyke/kernel';
import {
  encodeNotification,
  type Membership,
  notificationParser,
  rankByRendezvous,
  type ZoneBroadcast,
} from '@tanagerdyke/mesh';
import type { DecisionLog } from '../DecisionLog.js';
import type { QuarantineRegistry, StoredQuarantine } from '../services/Services.js';
import { OPEN_CALL_TIMEOUT_MS, OpenCalls } from '../state/OpenCalls.js';
import { MIN_TARGETS_IF_ANSWERED, type TargetCrash } from './CrashEvidence.js';
import type { QuarantinedCause } from './BlockedCauses.js';
import type { AnsweredCause, CrashQuarantine, LiveTarget } from './CrashQuarantine.js';
import { causeOfPart } from './PartCause.js';

const CRASH_METHOD = 'part.crash';
const ANSWER_METHOD = 'part.answered';
const BLOCKED_METHOD = 'part.blocked';
const LIFE_METHOD = 'target.alive';

const ANNOUNCEMENT_INTERVAL_MS = 1_000;
/** Time without an answer after which the stored quarantines are asked for again. */
const ANSWER_LIMIT_MS = 800;
const RETRY_MS = 700;
/** The store does not hold their number; the first one was made when the quarantine began. */
const TRIALS_OF_STORED = 1;
/** Datagrams get lost; receivers count a crash once. */
const REPEATED_REPORT_DELAY_MS = 100;
const STORE_INTERVAL_MS = 10_000;
/** A prompt may have thousands of parts, and a datagram has at most 64 KiB. */
const CAUSES_PER_REPORT = 40;

const parseCrash = notificationParser(CRASH_METHOD, parseTargetCrash);
const parseLife = notificationParser(LIFE_METHOD, parseLiveTarget);
const parseAnswered = notificationParser(ANSWER_METHOD, parseAnsweredCause);
const parseBlocked = notificationParser(BLOCKED_METHOD, parseQuarantinedCause);

export interface QuarantineReportsOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly broadcast: ZoneBroadcast;
  readonly membership: Membership;
  readonly quarantine: CrashQuarantine;
  readonly registry: QuarantineRegistry;
}

/** Connects the quarantine of this node with those of the others and with the stored one. */
export class QuarantineReports extends DisposableOwner {
  /** By cause: when this node last stored its quarantine. */
  private readonly _storedAt = new Map<string, number>();
  /** By cause: when another node last announced its quarantine. */
  private readonly _announcedAt = new Map<string, number>();
  /** The most nodes that were live at the same time. */
  private _maxLive = 1;
  private readonly _lists: OpenCalls<readonly StoredQuarantine[]>;

  constructor(private readonly _options: QuarantineReportsOptions) {
    super();
    const { broadcast, clock, quarantine } = _options;
    this._lists = this.register(new OpenCalls(clock));
    this.register(
      quarantine.onCrash((crash) => {
        this._reportCrash(crash);
      }),
    );
    this.register(
      quarantine.onLife((live) => {
        broadcast.send(encodeNotification(LIFE_METHOD, live));
      }),
    );
    this.register(
      quarantine.onAnswer((answered) => {
        const { ageMs, cause } = answered;
        broadcast.send(encodeNotification(ANSWER_METHOD, { ageMs, part: cause }));
      }),
    );
    this.register(
      quarantine.onBlocked((blocked) => {
        this._announce(blocked);
        runInBackground('quarantine.store', () => this._store(blocked));
      }),
    );
    this.register(
      quarantine.onTrial((blocked) => {
        this._announce(blocked);
      }),
    );
    this.register(
      quarantine.onCleared((cause) => {
        runInBackground('quarantine.remove', () => this._removeStored(cause));
      }),
    );
    this.register(
      broadcast.onMessage((payload) => {
        this._receive(payload);
      }),
    );
  }

  /** Reads the stored quarantines, and announces those that fall to this node. */
  public start(): void {
    this._maxLive = this._options.membership.live.length;
    keepRunning(this._options.clock, this.disposalSignal, 'quarantine.load', () => this._load());
    keepRunning(this._options.clock, this.disposalSignal, 'quarantine.announcements', () =>
      this._repeatAnnouncements(),
    );
  }

  private _receive(payload: string): void {
    const { clock, quarantine } = this._options;
    const crash = parseCrash(payload);
    if (crash !== undefined) {
      quarantine.applyCrash(crash);
      return;
    }
    const answered = parseAnswered(payload);
    if (answered !== undefined) {
      quarantine.recordReport(answered.cause);
      quarantine.applyAnswer(answered);
      return;
    }
    const live = parseLife(payload);
    if (live !== undefined) {
      quarantine.applyLife(live);
      return;
    }
    const blocked = parseBlocked(payload);
    if (blocked !== undefined) {
      this._announcedAt.set(blocked.cause, clock.now());
      quarantine.applyBlocked(blocked);
    }
  }

  private _reportCrash({ causes, request, target }: TargetCrash): void {
    const { broadcast, clock } = this._options;
    const payloads = chunksOf(causes, CAUSES_PER_REPORT).map((parts) =>
      encodeNotification(CRASH_METHOD, { engine: target, request, parts }),
    );
    payloads.forEach((each) => {
      broadcast.send(each);
    });
    clock.schedule(REPEATED_REPORT_DELAY_MS, () => {
      if (!this.isDisposed) {
        payloads.forEach((each) => {
          broadcast.send(each);
        });
      }
    });
  }

  private _announce({ cause, remainingMs, targets, trials }: QuarantinedCause): void {
    const announcement = { part: cause, remainingMs, engines: targets, trials };
    this._options.broadcast.send(encodeNotification(BLOCKED_METHOD, announcement));
  }

  private async _repeatAnnouncements(): Promise<void> {
    const { clock, quarantine } = this._options;
    while (!this.disposalSignal.aborted) {
      await clock.sleep(ANNOUNCEMENT_INTERVAL_MS, this.disposalSignal);
      for (const blocked of quarantine.blocked.filter(({ cause }) => this._isAnnouncer(cause))) {
        this._announce(blocked);
        runInBackground('quarantine.store', () => this._store(blocked));
      }
      for (const { cause } of quarantine.blocked) {
        quarantine.updateTrial(cause, this._rankOf(cause) === 0);
      }
      if (this._isIsolated()) {
        await this._read();
      }
    }
  }

  /** Whether this node reaches at most half of the nodes that it reached before. */
  private _isIsolated(): boolean {
    const live = this._options.membership.live.length;
    this._maxLive = Math.max(this._maxLive, live);
    return this._maxLive > 1 && live * 2 <= this._maxLive;
  }

  /** Whether no node that ranks before this one for the cause announces it. */
  private _isAnnouncer(cause: string): boolean {
    const { clock } = this._options;
    const rank = this._rankOf(cause);
    const silentMs = clock.now() - (this._announcedAt.get(cause) ?? Number.NEGATIVE_INFINITY);
    return silentMs > rank * ANNOUNCEMENT_INTERVAL_MS;
  }

  /** Rank of this node among the live ones for a cause; 0 is the first. */
  private _rankOf(cause: string): number {
    const { live, self } = this._options.membership;
    const names = live.map(({ name }) => name);
    return rankByRendezvous(cause, names).indexOf(self.name);
  }

  private async _load(): Promise<void> {
    while (!this.disposalSignal.aborted && !(await this._read())) {
      await this._options.clock.sleep(RETRY_MS, this.disposalSignal);
    }
  }

  /** Applies the stored quarantines; returns whether the store answered. */
  private async _read(): Promise<boolean> {
    const { clock, log, quarantine, registry } = this._options;
    const listed = await this._lists.ask({ limitMs: () => ANSWER_LIMIT_MS }, (attempt) =>
      registry.list(OPEN_CALL_TIMEOUT_MS, attempt),
    );
    if (listed.isErr) {
      log.write('quarantine.unread', { error: listed.error.message });
      return false;
    }
    for (const { cause, expiresAt } of listed.value) {
      const remainingMs = expiresAt - clock.wallTime();
      quarantine.applyBlocked({
        cause,
        remainingMs,
        targets: MIN_TARGETS_IF_ANSWERED,
        trials: TRIALS_OF_STORED,
      });
    }
    return true;
  }

  /** Stores a quarantine again after a while, as the store may go back to an older copy. */
  private async _store({ cause, remainingMs }: QuarantinedCause): Promise<void> {
    const { clock, log, registry } = this._options;
    const now = clock.now();
    if (now - (this._storedAt.get(cause) ?? Number.NEGATIVE_INFINITY) < STORE_INTERVAL_MS) {
      return;
    }
    this._storedAt.set(cause, now);
    const expiresAt = clock.wallTime() + remainingMs;
    const stored = await registry.store({ cause, expiresAt }, OPEN_CALL_TIMEOUT_MS);
    if (stored.isErr) {
      this._storedAt.delete(cause);
      log.write('quarantine.unstored', { cause, error: stored.error.message });
    }
  }

  private async _removeStored(cause: string): Promise<void> {
    const { log, registry } = this._options;
    this._storedAt.delete(cause);
    const removed = await registry.remove(cause, OPEN_CALL_TIMEOUT_MS);
    if (removed.isErr) {
      log.write('quarantine.unremoved', { cause, error: removed.error.message });
    }
  }
}

type Params = Readonly<Record<string, unknown>>;

/**
 * Validates a received crash; returns `undefined` when it is malformed. Nodes of earlier releases send
 * the ids of parts as they are, however long.
 */
function parseTargetCrash(params: unknown): TargetCrash | undefined {
  const { engine, parts, request } = (params ?? {}) as Params;
  return typeof engine === 'string' &&
    typeof request === 'string' &&
    Array.isArray(parts) &&
    parts.every((each) => typeof each === 'string')
    ? { target: engine, request, causes: parts.map(causeOfPart) }
    : undefined;
}

/** Validates a received life sign; returns `undefined` when it is malformed. */
function parseLiveTarget(params: unknown): LiveTarget | undefined {
  const { sentAgoMs, target } = (params ?? {}) as Params;
  return typeof target === 'string' && typeof sentAgoMs === 'number' && sentAgoMs >= 0
    ? { target, sentAgoMs }
    : undefined;
}

/** Validates a received answer; returns `undefined` when it is malformed. */
function parseAnsweredCause(params: unknown): AnsweredCause | undefined {
  const { ageMs, part } = (params ?? {}) as Params;
  return typeof part === 'string' && typeof ageMs === 'number' && ageMs >= 0
    ? { cause: causeOfPart(part), ageMs }
    : undefined;
}

/** Validates a received quarantine; returns `undefined` when it is malformed. */
function parseQuarantinedCause(params: unknown): QuarantinedCause | undefined {
  // Nodes of earlier releases let no request through, and don't state a number.
  const { engines, part, remainingMs, trials = 0 } = (params ?? {}) as Params;
  return typeof trials === 'number' &&
    typeof part === 'string' &&
    typeof engines === 'number' &&
    typeof remainingMs === 'number' &&
    remainingMs > 0
    ? { cause: causeOfPart(part), targets: engines, remainingMs, trials }
    : undefined;
}
