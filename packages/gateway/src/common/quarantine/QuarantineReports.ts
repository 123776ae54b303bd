/**
 * Shares crashes, answers and quarantines among all nodes, and stores quarantines on the
 * platform, since the nodes have no disk and may all restart at once. One node announces each
 * quarantine every second, for nodes that restarted or missed the report; the next one in rank takes
 * over when it is silent. A node that lost most of the others reads the stored quarantines.
 */
import { type Clock, DisposableOwner } from '@tanagerdyke/kernel';
import {
  encodeNotification,
  type Membership,
  notificationParser,
  rankByRendezvous,
  type ZoneBroadcast,
} from '@tanagerdyke/mesh';
import type { DecisionLog } from '../DecisionLog.js';
import type { QuarantineRegistry } from '../services/Services.js';
import { MIN_ENGINES_IF_ANSWERED, type PromptCrash } from './CrashEvidence.js';
import type { AnsweredPart, PartQuarantine, QuarantinedPart } from './PartQuarantine.js';

const CRASH_METHOD = 'part.crash';
const ANSWER_METHOD = 'part.answered';
const BLOCKED_METHOD = 'part.blocked';

const ANNOUNCEMENT_INTERVAL_MS = 1_000;
const CALL_TIMEOUT_MS = 800;
const RETRY_MS = 700;
const STORE_INTERVAL_MS = 10_000;

const parseCrash = notificationParser(CRASH_METHOD, parsePromptCrash);
const parseAnswered = notificationParser(ANSWER_METHOD, parseAnsweredPart);
const parseBlocked = notificationParser(BLOCKED_METHOD, parseQuarantinedPart);

export interface QuarantineReportsOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly broadcast: ZoneBroadcast;
  readonly membership: Membership;
  readonly quarantine: PartQuarantine;
  readonly registry: QuarantineRegistry;
}

/** Connects the quarantine of this node with those of the others and with the stored one. */
export class QuarantineReports extends DisposableOwner {
  /** By part: when this node last stored its quarantine. */
  private readonly _storedAt = new Map<string, number>();
  /** By part: when another node last announced its quarantine. */
  private readonly _announcedAt = new Map<string, number>();
  /** The most nodes that were live at the same time. */
  private _maxLive = 1;

  constructor(private readonly _options: QuarantineReportsOptions) {
    super();
    const { broadcast, quarantine } = _options;
    this.register(
      quarantine.onCrash((crash) => {
        broadcast.send(encodeNotification(CRASH_METHOD, crash));
      }),
    );
    this.register(
      quarantine.onAnswer((answered) => {
        broadcast.send(encodeNotification(ANSWER_METHOD, answered));
      }),
    );
    this.register(
      quarantine.onBlocked((blocked) => {
        this._announce(blocked);
        void this._store(blocked);
      }),
    );
    this.register(
      quarantine.onCleared((part) => {
        void this._removeStored(part);
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
    void this._load();
    void this._repeatAnnouncements();
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
      quarantine.recordReport(answered.part);
      quarantine.applyAnswer(answered);
      return;
    }
    const blocked = parseBlocked(payload);
    if (blocked !== undefined) {
      this._announcedAt.set(blocked.part, clock.now());
      quarantine.applyBlocked(blocked);
    }
  }

  private _announce(blocked: QuarantinedPart): void {
    this._options.broadcast.send(encodeNotification(BLOCKED_METHOD, blocked));
  }

  private async _repeatAnnouncements(): Promise<void> {
    const { clock, quarantine } = this._options;
    while (!this.disposalSignal.aborted) {
      await clock.sleep(ANNOUNCEMENT_INTERVAL_MS, this.disposalSignal);
      for (const blocked of quarantine.blocked.filter(({ part }) => this._isAnnouncer(part))) {
        this._announce(blocked);
        void this._store(blocked);
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

  /** Whether no node that ranks before this one for the part announces it. */
  private _isAnnouncer(part: string): boolean {
    const { clock, membership } = this._options;
    const names = membership.live.map(({ name }) => name);
    const rank = rankByRendezvous(part, names).indexOf(membership.self.name);
    const silentMs = clock.now() - (this._announcedAt.get(part) ?? Number.NEGATIVE_INFINITY);
    return silentMs > rank * ANNOUNCEMENT_INTERVAL_MS;
  }

  private async _load(): Promise<void> {
    while (!this.disposalSignal.aborted && !(await this._read())) {
      await this._options.clock.sleep(RETRY_MS, this.disposalSignal);
    }
  }

  /** Applies the stored quarantines; returns whether the store answered. */
  private async _read(): Promise<boolean> {
    const { clock, log, quarantine, registry } = this._options;
    const listed = await registry.list(CALL_TIMEOUT_MS);
    if (listed.isErr) {
      log.write('quarantine.unread', { cause: listed.error.message });
      return false;
    }
    for (const { expiresAt, part } of listed.value) {
      const remainingMs = expiresAt - clock.wallTime();
      quarantine.applyBlocked({ part, remainingMs, engines: MIN_ENGINES_IF_ANSWERED });
    }
    return true;
  }

  /** Stores a quarantine again after a while, as the store may go back to an older copy. */
  private async _store({ part, remainingMs }: QuarantinedPart): Promise<void> {
    const { clock, log, registry } = this._options;
    const now = clock.now();
    if (now - (this._storedAt.get(part) ?? Number.NEGATIVE_INFINITY) < STORE_INTERVAL_MS) {
      return;
    }
    this._storedAt.set(part, now);
    const expiresAt = clock.wallTime() + remainingMs;
    const stored = await registry.store({ part, expiresAt }, CALL_TIMEOUT_MS);
    if (stored.isErr) {
      this._storedAt.delete(part);
      log.write('quarantine.unstored', { part, cause: stored.error.message });
    }
  }

  private async _removeStored(part: string): Promise<void> {
    const { log, registry } = this._options;
    this._storedAt.delete(part);
    const removed = await registry.remove(part, CALL_TIMEOUT_MS);
    if (removed.isErr) {
      log.write('quarantine.unremoved', { part, cause: removed.error.message });
    }
  }
}

type Params = Readonly<Record<string, unknown>>;

/** Validates a received crash; returns `undefined` when it is malformed. */
function parsePromptCrash(params: unknown): PromptCrash | undefined {
  const { engine, parts, request } = (params ?? {}) as Params;
  return typeof engine === 'string' &&
    typeof request === 'string' &&
    Array.isArray(parts) &&
    parts.every((each) => typeof each === 'string')
    ? { engine, request, parts }
    : undefined;
}

/** Validates a received answer; returns `undefined` when it is malformed. */
function parseAnsweredPart(params: unknown): AnsweredPart | undefined {
  const { ageMs, part } = (params ?? {}) as Params;
  return typeof part === 'string' && typeof ageMs === 'number' && ageMs >= 0
    ? { part, ageMs }
    : undefined;
}

/** Validates a received quarantine; returns `undefined` when it is malformed. */
function parseQuarantinedPart(params: unknown): QuarantinedPart | undefined {
  const { engines, part, remainingMs } = (params ?? {}) as Params;
  return typeof part === 'string' &&
    typeof engines === 'number' &&
    typeof remainingMs === 'number' &&
    remainingMs > 0
    ? { part, engines, remainingMs }
    : undefined;
}
