/**
 * Keeps requests from targets under which targets crash: prompts with a certain part, or requests
 * with certain content. Each node collects the crashes that all nodes see, and the nodes that have
 * answered requests with the same cause report that, so that a cause which is common among sound
 * requests is not blocked. A quarantine ends after its time, or as soon as a request with the cause
 * that was already running, or that was let through as a trial, is answered.
 */
import {
  type Clock,
  type Disposable,
  DisposableOwner,
  Emitter,
  type Metrics,
  toDisposable,
} from '@tanagerdyke/kernel';
import { LRUCache } from 'lru-cache';
import type { DecisionLog } from '../DecisionLog.js';
import { BlockedCauses, QUARANTINE_MS, type QuarantinedCause } from './BlockedCauses.js';
import {
  CauseKind,
  CrashEvidence,
  kindOfCause,
  MIN_TARGETS_IF_ANSWERED,
  type TargetCrash,
} from './CrashEvidence.js';

/** An answer speaks for its causes this long. */
const ANSWER_MEMORY_MS = 60_000;
/** Answers with the same cause are not reported more often. */
const ANSWER_REPORT_INTERVAL_MS = 500;
const MAX_CAUSES = 5_000;
/**
 * Time from the last crash to the decision. Meanwhile crashes under the other requests of the targets
 * are reported, and targets that did not crash answer. Parts need more crashes instead.
 */
const DECISION_DELAY_MS: Readonly<Record<CauseKind, number>> = {
  [CauseKind.Part]: 0,
  [CauseKind.Request]: 300,
};

export interface CrashQuarantineOptions {
  readonly clock: Clock;
  readonly log: DecisionLog;
  readonly metrics: Metrics;
}

/** The last answer to a request with a cause. */
export interface AnsweredCause {
  readonly cause: string;
  /** Time since the answer. */
  readonly ageMs: number;
}

/** A target that answered after its supposed crash. */
export interface LiveTarget {
  readonly target: string;
  /** Time since a request was sent that it answered. */
  readonly sentAgoMs: number;
}

/** Decides which causes are blocked. */
export class CrashQuarantine extends DisposableOwner {
  private readonly _evidence = new CrashEvidence();
  private readonly _blocked: BlockedCauses;
  private readonly _answeredAt = new LRUCache<string, number>({ max: MAX_CAUSES });
  /** By cause: when an answer was last reported, by this node or another one. */
  private readonly _reportedAt = new LRUCache<string, number>({ max: MAX_CAUSES });
  /** By cause: the decision that is due. */
  private readonly _decisions = new Map<string, Disposable>();
  private readonly _onCrash = this.register(new Emitter<TargetCrash>());
  /** Fires with each crash that this node sees, for the other nodes. */
  public readonly onCrash = this._onCrash.event;
  private readonly _onAnswer = this.register(new Emitter<AnsweredCause>());
  /** Fires with an answered cause that others count crashes of or have blocked. */
  public readonly onAnswer = this._onAnswer.event;
  private readonly _onLife = this.register(new Emitter<LiveTarget>());
  /** Fires with a target that did not crash, though its connections broke. */
  public readonly onLife = this._onLife.event;
  private readonly _onBlocked = this.register(new Emitter<QuarantinedCause>());
  /** Fires when this node decides that a cause is blocked. */
  public readonly onBlocked = this._onBlocked.event;
  private readonly _onTrial = this.register(new Emitter<QuarantinedCause>());
  /** Fires when this node lets a request with a blocked cause through. */
  public readonly onTrial = this._onTrial.event;
  private readonly _onCleared = this.register(new Emitter<string>());
  /** Fires when a blocked cause is not blocked any more because a request with it was answered. */
  public readonly onCleared = this._onCleared.event;

  constructor(private readonly _options: CrashQuarantineOptions) {
    super();
    const { clock, metrics } = _options;
    this._blocked = new BlockedCauses(clock);
    metrics.gauge('tanager_parts_quarantined', () => this._countBlocked(CauseKind.Part));
    metrics.gauge('tanager_requests_quarantined', () => this._countBlocked(CauseKind.Request));
    this.register(
      toDisposable(() => {
        for (const timer of this._decisions.values()) {
          timer.dispose();
        }
      }),
    );
  }

  /** The causes that are blocked now. */
  public get blocked(): readonly QuarantinedCause[] {
    return this._blocked.all;
  }

  /** Returns the first of the causes that is blocked and has no trial to be taken, if any. */
  public findBlocked(causes: readonly string[]): QuarantinedCause | undefined {
    return this._blocked.findBlocking(causes);
  }

  /** Whether any of the causes is blocked, with or without a trial to be taken. */
  public hasBlocked(causes: readonly string[]): boolean {
    return causes.some((cause) => this._blocked.has(cause));
  }

  /** Offers a trial if one is due; for the one node that makes them. */
  public updateTrial(cause: string, isTrialNode: boolean): void {
    this._blocked.updateTrial(cause, isTrialNode);
  }

  /** Takes the trials that are offered for the causes of a request that is about to be sent. */
  public takeTrials(causes: readonly string[]): void {
    for (const quarantined of this._blocked.takeTrials(causes)) {
      const { cause, trials } = quarantined;
      this._options.log.write('quarantine.trial', { cause, trials });
      this._onTrial.fire(quarantined);
    }
  }

  /** Records a crash that this node saw. */
  public recordCrash(crash: TargetCrash): void {
    if (crash.causes.length > 0) {
      this.applyCrash(crash);
      this._onCrash.fire(crash);
    }
  }

  /**
   * Records that a target began to answer a request of this node. A connection to it that broke
   * before the request was sent is no crash.
   */
  public recordLife(target: string, sentAt: number): void {
    if (this._evidence.refute(target, sentAt)) {
      this._onLife.fire({ target, sentAgoMs: this._options.clock.now() - sentAt });
    }
  }

  /** Applies that a target answered a request of another node. */
  public applyLife({ sentAgoMs, target }: LiveTarget): void {
    this._evidence.refute(target, this._options.clock.now() - sentAgoMs);
  }

  /** Records that a target answered a request of this node completely. */
  public recordAnswer(causes: readonly string[]): void {
    for (const cause of causes) {
      const isRelevant = this.applyAnswer({ cause, ageMs: 0 });
      if (isRelevant) {
        this._reportAnswer(cause);
      }
    }
  }

  /** Applies a crash that any node saw. */
  public applyCrash(crash: TargetCrash): void {
    const now = this._options.clock.now();
    if (crash.causes.some((cause) => this._blocked.has(cause))) {
      this._evidence.explainTargets([crash.target]);
      return;
    }
    for (const cause of crash.causes) {
      this._evidence.add(crash, cause, now);
      this._reportAnswer(cause);
    }
    // Fewer requests have the later causes, so of two that are in the same crashes the later one is
    // blocked.
    for (const cause of [...crash.causes].reverse()) {
      this._scheduleDecision(cause);
    }
  }

  /**
   * Applies that a request with the cause was answered at any node. Returns whether that speaks
   * against crashes or a quarantine of it.
   */
  public applyAnswer({ ageMs, cause }: AnsweredCause): boolean {
    const now = this._options.clock.now();
    const answeredAt = Math.max(this._answeredAt.get(cause) ?? 0, now - ageMs);
    this._answeredAt.set(cause, answeredAt);
    const hadCrashes = this._evidence.clear(cause, answeredAt);
    const blocked = this._blocked.find(cause);
    const isRefuted =
      blocked !== undefined &&
      (answeredAt > blocked.at || blocked.targets < MIN_TARGETS_IF_ANSWERED);
    if (!isRefuted) {
      return hadCrashes;
    }
    this._blocked.remove(cause);
    this._options.log.write('quarantine.cleared', { cause });
    this._onCleared.fire(cause);
    return true;
  }

  /** Records that another node reported an answer, so that this one need not. */
  public recordReport(cause: string): void {
    this._reportedAt.set(cause, this._options.clock.now());
  }

  /** Applies a quarantine that another node decided, or that was stored. */
  public applyBlocked(quarantined: QuarantinedCause): void {
    const { targets, cause, remainingMs } = quarantined;
    if (this._wasAnswered(cause) && targets < MIN_TARGETS_IF_ANSWERED) {
      this._reportAnswer(cause);
      return;
    }
    this._blocked.countTrials(cause, quarantined.trials);
    if (!this._blocked.has(cause) && remainingMs > 0) {
      this._block(quarantined, 'reported');
    }
  }

  private _wasAnswered(cause: string): boolean {
    const answeredAt = this._answeredAt.get(cause);
    return answeredAt !== undefined && this._options.clock.now() - answeredAt < ANSWER_MEMORY_MS;
  }

  private _countBlocked(kind: CauseKind): number {
    return this.blocked.filter(({ cause }) => kindOfCause(cause) === kind).length;
  }

  private _scheduleDecision(cause: string): void {
    const delayMs = DECISION_DELAY_MS[kindOfCause(cause)];
    if (delayMs === 0) {
      this._decide(cause);
    } else if (this._isConclusive(cause) && !this._decisions.has(cause)) {
      const timer = this._options.clock.schedule(delayMs, () => {
        this._decisions.delete(cause);
        this._decide(cause);
      });
      this._decisions.set(cause, timer);
    }
  }

  private _isConclusive(cause: string): boolean {
    const now = this._options.clock.now();
    return (
      !this._blocked.has(cause) &&
      this._evidence.isConclusive(cause, now, this._wasAnswered(cause)) &&
      (kindOfCause(cause) === CauseKind.Part || !this._evidence.isAmbiguous(cause, now))
    );
  }

  private _decide(cause: string): void {
    if (!this._isConclusive(cause)) {
      return;
    }
    const targets = this._evidence.countTargets(cause, this._options.clock.now());
    const quarantined = { cause, targets, trials: 0, remainingMs: QUARANTINE_MS };
    this._block(quarantined, 'decided');
    this._evidence.explain(cause);
    this._onBlocked.fire(quarantined);
  }

  private _block(quarantined: QuarantinedCause, source: string): void {
    const forMs = Math.round(this._blocked.add(quarantined));
    const { cause, targets } = quarantined;
    this._options.log.write('quarantine.started', { cause, source, targets, forMs });
  }

  /** Reports the last answer with a cause, unless there is none or one was just reported. */
  private _reportAnswer(cause: string): void {
    const now = this._options.clock.now();
    const reportedAt = this._reportedAt.get(cause) ?? Number.NEGATIVE_INFINITY;
    const answeredAt = this._answeredAt.get(cause);
    if (
      answeredAt !== undefined &&
      this._wasAnswered(cause) &&
      now - reportedAt >= ANSWER_REPORT_INTERVAL_MS
    ) {
      this._reportedAt.set(cause, now);
      this._onAnswer.fire({ cause, ageMs: now - answeredAt });
    }
  }
}
