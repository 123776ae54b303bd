/**
 * Keeps prompts from engines that have a part under which engines crash. Each node collects the
 * crashes that all nodes see, and the nodes that have answered prompts with the same part report
 * that, so that a part which is common among sound prompts is not blocked. A quarantine ends after
 * its time, or as soon as a prompt with the part that was already running is answered.
 */
import { type Clock, DisposableOwner, Emitter, type Metrics } from '@tanagerdyke/kernel';
import { LRUCache } from 'lru-cache';
import type { DecisionLog } from '../DecisionLog.js';
import { CrashEvidence, MIN_ENGINES_IF_ANSWERED, type PromptCrash } from './CrashEvidence.js';

/** A part that makes engines crash is not tried again for this long. */
const QUARANTINE_MS = 600_000;
/** An answer speaks for its parts this long. */
const ANSWER_MEMORY_MS = 60_000;
/** Answers with the same part are not reported more often. */
const ANSWER_REPORT_INTERVAL_MS = 500;
const MAX_PARTS = 5_000;

export interface PartQuarantineOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
}

/** A part that is blocked. */
export interface QuarantinedPart {
  readonly part: string;
  readonly remainingMs: number;
  /** Number of engines that crashed before the part was blocked. */
  readonly engines: number;
}

interface BlockedPart {
  readonly at: number;
  readonly until: number;
  readonly engines: number;
}

/** The last answer to a prompt with a part. */
export interface AnsweredPart {
  readonly part: string;
  /** Time since the answer. */
  readonly ageMs: number;
}

/** Decides which parts of prompts are blocked. */
export class PartQuarantine extends DisposableOwner {
  private readonly _evidence = new CrashEvidence();
  private readonly _blocked = new Map<string, BlockedPart>();
  private readonly _answeredAt = new LRUCache<string, number>({ max: MAX_PARTS });
  /** By part: when an answer was last reported, by this node or another one. */
  private readonly _reportedAt = new LRUCache<string, number>({ max: MAX_PARTS });
  private readonly _onCrash = this.register(new Emitter<PromptCrash>());
  /** Fires with each crash that this node sees, for the other nodes. */
  public readonly onCrash = this._onCrash.event;
  private readonly _onAnswer = this.register(new Emitter<AnsweredPart>());
  /** Fires with an answered part that others count crashes of or have blocked. */
  public readonly onAnswer = this._onAnswer.event;
  private readonly _onBlocked = this.register(new Emitter<QuarantinedPart>());
  /** Fires when this node decides that a part is blocked. */
  public readonly onBlocked = this._onBlocked.event;
  private readonly _onCleared = this.register(new Emitter<string>());
  /** Fires when a blocked part is not blocked any more because a prompt with it was answered. */
  public readonly onCleared = this._onCleared.event;

  constructor(private readonly _options: PartQuarantineOptions) {
    super();
    _options.metrics.gauge('tanager_parts_quarantined', () => this.blocked.length);
  }

  /** The parts that are blocked now. */
  public get blocked(): readonly QuarantinedPart[] {
    const now = this._options.clock.now();
    return [...this._blocked]
      .map(([part, { engines, until }]) => ({ part, engines, remainingMs: until - now }))
      .filter(({ remainingMs }) => remainingMs > 0);
  }

  /** Returns the first of the parts that is blocked, if any. */
  public findBlocked(parts: readonly string[]): QuarantinedPart | undefined {
    if (this._blocked.size === 0) {
      return undefined;
    }
    return this.blocked.find(({ part }) => parts.includes(part));
  }

  /** Records a crash that this node saw. */
  public recordCrash(crash: PromptCrash): void {
    if (crash.parts.length > 0) {
      this.applyCrash(crash);
      this._onCrash.fire(crash);
    }
  }

  /** Records that an engine answered a prompt of this node completely. */
  public recordAnswer(parts: readonly string[]): void {
    for (const part of parts) {
      const isRelevant = this.applyAnswer({ part, ageMs: 0 });
      if (isRelevant) {
        this._reportAnswer(part);
      }
    }
  }

  /** Applies a crash that any node saw. */
  public applyCrash(crash: PromptCrash): void {
    const now = this._options.clock.now();
    if (crash.parts.some((part) => this._isBlocked(part))) {
      this._evidence.explainEngines([crash.engine]);
      return;
    }
    for (const part of crash.parts) {
      this._evidence.add(crash, part, now);
      this._reportAnswer(part);
    }
    // Fewer prompts have the later parts, so of two that are in the same crashes the later one is
    // blocked.
    for (const part of [...crash.parts].reverse()) {
      this._decide(part);
    }
  }

  /**
   * Applies that a prompt with the part was answered at any node. Returns whether that speaks
   * against crashes or a quarantine of it.
   */
  public applyAnswer({ ageMs, part }: AnsweredPart): boolean {
    const now = this._options.clock.now();
    const answeredAt = Math.max(this._answeredAt.get(part) ?? 0, now - ageMs);
    this._answeredAt.set(part, answeredAt);
    const hadCrashes = this._evidence.clear(part, answeredAt);
    const blocked = this._blocked.get(part);
    const isRefuted =
      blocked !== undefined &&
      (answeredAt > blocked.at || blocked.engines < MIN_ENGINES_IF_ANSWERED);
    if (!isRefuted) {
      return hadCrashes;
    }
    this._blocked.delete(part);
    this._options.log.write('part.cleared', { part });
    this._onCleared.fire(part);
    return true;
  }

  /** Records that another node reported an answer, so that this one need not. */
  public recordReport(part: string): void {
    this._reportedAt.set(part, this._options.clock.now());
  }

  /** Applies a quarantine that another node decided, or that was stored. */
  public applyBlocked(quarantined: QuarantinedPart): void {
    const { engines, part, remainingMs } = quarantined;
    if (this._wasAnswered(part) && engines < MIN_ENGINES_IF_ANSWERED) {
      this._reportAnswer(part);
      return;
    }
    if (!this._isBlocked(part) && remainingMs > 0) {
      this._block(quarantined, 'reported');
    }
  }

  private _isBlocked(part: string): boolean {
    const now = this._options.clock.now();
    return (this._blocked.get(part)?.until ?? now) > now;
  }

  private _wasAnswered(part: string): boolean {
    const answeredAt = this._answeredAt.get(part);
    return answeredAt !== undefined && this._options.clock.now() - answeredAt < ANSWER_MEMORY_MS;
  }

  private _decide(part: string): void {
    const now = this._options.clock.now();
    if (this._isBlocked(part) || !this._evidence.isConclusive(part, now, this._wasAnswered(part))) {
      return;
    }
    const engines = this._evidence.countEngines(part, now);
    const quarantined = { part, engines, remainingMs: QUARANTINE_MS };
    this._block(quarantined, 'decided');
    this._evidence.explain(part);
    this._onBlocked.fire(quarantined);
  }

  private _block({ engines, part, remainingMs }: QuarantinedPart, source: string): void {
    const now = this._options.clock.now();
    for (const [each, { until }] of this._blocked) {
      if (until <= now) {
        this._blocked.delete(each);
      }
    }
    const until = now + Math.min(remainingMs, QUARANTINE_MS);
    this._blocked.set(part, { at: now, until, engines });
    this._options.log.write('part.quarantined', {
      part,
      source,
      engines,
      forMs: Math.round(until - now),
    });
  }

  /** Reports the last answer with a part, unless there is none or one was just reported. */
  private _reportAnswer(part: string): void {
    const now = this._options.clock.now();
    const reportedAt = this._reportedAt.get(part) ?? Number.NEGATIVE_INFINITY;
    const answeredAt = this._answeredAt.get(part);
    if (
      answeredAt !== undefined &&
      this._wasAnswered(part) &&
      now - reportedAt >= ANSWER_REPORT_INTERVAL_MS
    ) {
      this._reportedAt.set(part, now);
      this._onAnswer.fire({ part, ageMs: now - answeredAt });
    }
  }
}
