/**
 * Plays a request against targets that do what a script says, on a manual clock, and tells which
 * promises to callers its ending broke. The forwarders are the real ones; only sockets are played.
 * Not shipped.
 */
import { EventEmitter } from 'node:events';
import type { ServerResponse } from 'node:http';
import { ManualClock, Metrics, SeededRandom } from '@tanagerdyke/kernel';
import { DecisionLog } from '../common/DecisionLog.js';
import { CallKind, type RawHeaders, type TargetEntry } from '../common/Messages.js';
import { EngineScheduler } from '../common/placement/EngineScheduler.js';
import { LoadBoard } from '../common/placement/LoadBoard.js';
import { TargetHealth } from '../common/placement/TargetHealth.js';
import { SharedRetryBudget } from '../common/SharedRetryBudget.js';
import { TargetTable } from '../common/state/TargetTable.js';
import { KeyedTable } from '../common/state/KeyedTable.js';
import { ConfigurationState } from '../common/state/ConfigurationState.js';
import { Result } from 'true-myth';
import { CallerResponse, OwnStatus } from './CallerResponse.js';
import type { ForwardedRequest, ForwardingParts, RequestReport } from './ForwardedRequest.js';
import { configuration, noReservations, testDialect } from './ForwardingHarness.js';
import type { Exchange, ExchangeObserver, RequestSender, UpstreamRequest } from './Upstream.js';

const EVENTS = 3;
const DEADLINE_MS = 3_000;
/** Longer than any wait of a forwarder. */
const WHOLE_PLAY_MS = 10_000;
const TARGETS = 4;

/** What becomes of one attempt. */
export enum Step {
  Unreachable = 'unreachable',
  ResetAfterSending = 'reset after sending',
  Misdirected = 'misdirected',
  RefusedUnrun = 'refused unrun',
  Failed = 'failed',
  Answered = 'answered',
  CutShort = 'cut short',
  ForeignAnswer = 'foreign answer',
  ExtraAnswer = 'extra answer',
  Silent = 'silent',
  LateAnswer = 'late answer',
  CallerLeaves = 'caller leaves',
}

/** Which promises were broken. */
export enum Violation {
  RanTwice = 'ran twice',
  FalseRefusal = 'a refusal says that it did not run, though it may have',
  WrongBytes = 'bytes of another answer, in the wrong order, or twice',
  LooksWhole = 'an incomplete answer looks complete',
  TooManyAttempts = 'sent more often than the route allows',
  SentForNobody = 'sent or kept running after the caller left',
  NoAnswer = 'no final answer',
}

type Forwarder = (parts: ForwardingParts, request: ForwardedRequest) => Promise<RequestReport>;

/** The forwarders under test; a test may pass faulty ones. */
export interface Forwarders {
  readonly call: Forwarder;
  readonly stream: Forwarder;
}

/** Plays one request and returns what went wrong. */
export async function playRequest(
  forwarders: Forwarders,
  kind: CallKind,
  maxAttempts: number,
  script: readonly Step[],
): Promise<Violation[]> {
  const play = new Play(kind, maxAttempts, script);
  await play.run(forwarders);
  return play.violations();
}

/** An attempt as its target saw it. */
interface Attempt {
  readonly hasArrived: boolean;
  /** Whether the work was, or may have been, done. */
  readonly mayHaveRun: boolean;
  isOpen: boolean;
  readonly isAfterCallerLeft: boolean;
}

class Play {
  private readonly _clock = new ManualClock();
  private readonly _left = new AbortController();
  private readonly _caller = new PlayedCaller();
  private readonly _attempts: Attempt[] = [];
  private _isFinished = false;

  constructor(
    private readonly _kind: CallKind,
    private readonly _maxAttempts: number,
    private readonly _script: readonly Step[],
  ) {}

  public async run(forwarders: Forwarders): Promise<void> {
    const forward = this._kind === CallKind.Stream ? forwarders.stream : forwarders.call;
    void forward(this._parts(), this._request()).then(() => {
      this._isFinished = true;
    });
    await this._clock.advance(WHOLE_PLAY_MS);
  }

  public violations(): Violation[] {
    const arrived = this._attempts.filter(({ hasArrived }) => hasArrived);
    const ran = this._attempts.filter(({ mayHaveRun }) => mayHaveRun);
    const { body, isWhole, status } = this._caller;
    const hasLeft = this._left.signal.aborted;
    const found: Record<Violation, boolean> = {
      [Violation.RanTwice]: this._kind === CallKind.NonIdempotent && ran.length > 1,
      [Violation.FalseRefusal]: status === OwnStatus.Refused && ran.length > 0,
      [Violation.WrongBytes]: status === 200 && !wholeBody(this._kind).startsWith(body),
      [Violation.LooksWhole]: status === 200 && isWhole && body !== wholeBody(this._kind),
      // A reader's or a begun stream's refusals are bounded apart from the attempts.
      [Violation.TooManyAttempts]: ran.length > this._maxAttempts,
      [Violation.SentForNobody]:
        hasLeft && arrived.some((each) => each.isAfterCallerLeft || each.isOpen),
      [Violation.NoAnswer]: !this._isFinished || (!hasLeft && !this._caller.isOver),
    };
    return Object.values(Violation).filter((each) => found[each]);
  }

  private readonly _sender: RequestSender = {
    send: (_target, _connections, request, observer) => this._begin(request, observer),
  };

  private _begin(request: UpstreamRequest, observer: ExchangeObserver): Exchange {
    const step = this._script[this._attempts.length] ?? Step.Answered;
    const attempt: Attempt = {
      hasArrived: step !== Step.Unreachable,
      mayHaveRun: !UNRUN.has(step),
      isOpen: true,
      isAfterCallerLeft: this._left.signal.aborted,
    };
    this._attempts.push(attempt);
    const target = new PlayedTarget(this._kind, request, observer, attempt);
    // The sender hands out the exchange before anything happens on it.
    this._clock.schedule(1, () => {
      if (attempt.isOpen) {
        PLAYS[step](target, this._clock, () => {
          this._caller.leave();
          this._left.abort();
        });
      }
    });
    return {
      abort: () => {
        attempt.isOpen = false;
      },
      pause: () => undefined,
      resume: () => undefined,
    };
  }

  private _parts(): ForwardingParts {
    const clock = this._clock;
    const random = new SeededRandom(1);
    const log = new DecisionLog(clock, 'n', () => true);
    const health = new TargetHealth(clock);
    const targets = targetsOf(clock, log, this._kind === CallKind.Stream ? 'engine' : 'app');
    const board = new LoadBoard(clock, 'n');
    const publisher = {
      publish: (work: Parameters<LoadBoard['set']>[1]) => {
        board.set('n', work);
      },
      begin: (work: Parameters<LoadBoard['set']>[1]) => {
        board.set('n', work);
      },
      withdraw: (id: string) => {
        board.end('n', id);
      },
    };
    const common = { clock, random, targets, health, availabilityZone: 'a', liveNodes: () => 1 };
    return {
      ...common,
      metrics: new Metrics(),
      log,
      dialect: testDialect,
      configuration: new ConfigurationState(new KeyedTable('configuration'), decoderOf([]), log),
      scheduler: new EngineScheduler({ ...common, board, publisher }),
      engines: noReservations,
      budget: new SharedRetryBudget(
        clock,
        { ratio: 0, windowMs: 10_000, allowance: 100 },
        common.liveNodes,
      ),
      upstream: this._sender,
    };
  }

  private _request(): ForwardedRequest {
    const route = configuration.routes.find(({ kind }) => kind === this._kind);
    const service = configuration.services.find(({ name }) => name === route?.shares[0]?.service);
    if (route === undefined || service === undefined) {
      throw new Error(`the harness has no route for ${this._kind}`);
    }
    return {
      id: 'r1',
      method: 'POST',
      path: route.pathPrefix,
      headers: ['Host', 'test'],
      body: Buffer.from('x'),
      caller: {
        attemptId: 'a1',
        host: 'test',
        waitsMs: DEADLINE_MS,
        key: 'k',
        promptTokens: 1_000,
        outputTokens: 100,
        lastEventId: undefined,
      },
      route: { ...route, maxAttempts: this._maxAttempts },
      service,
      workspace: undefined,
      receivedAt: this._clock.now(),
      deadlineAt: this._clock.now() + DEADLINE_MS,
      response: new CallerResponse(this._caller as unknown as ServerResponse, () => false),
      signal: this._left.signal,
    };
  }
}

/** The caller's side of a response. */
class PlayedCaller extends EventEmitter {
  public status: number | undefined;
  public body = '';
  public headersSent = false;
  public writableEnded = false;
  public destroyed = false;
  public sendDate = true;

  /** Whether the answer ended as a complete one. */
  public get isWhole(): boolean {
    return this.writableEnded && !this.destroyed;
  }

  public get isOver(): boolean {
    return this.writableEnded || this.destroyed;
  }

  public leave(): void {
    this.destroyed = true;
  }

  public writeHead(status: number): void {
    this.status = status;
    this.headersSent = true;
  }

  public flushHeaders(): void {
    this.headersSent = true;
  }

  public write(bytes: Buffer): boolean {
    this.body += bytes.toString();
    return true;
  }

  public end(bytes?: Buffer): void {
    this.body += bytes?.toString() ?? '';
    this.writableEnded = true;
  }

  public destroy(): void {
    this.destroyed = true;
  }
}

/** A target's side of one exchange. */
class PlayedTarget {
  constructor(
    private readonly _kind: CallKind,
    private readonly _request: UpstreamRequest,
    private readonly _observer: ExchangeObserver,
    private readonly _attempt: Attempt,
  ) {}

  public receive(): void {
    this._observer.onSent();
  }

  public head(status: number, headers: RawHeaders = ['Attempt', 'a1']): void {
    this._tell(() => {
      this._observer.onHead(status, headers);
    });
  }

  /** Sends all of the answer that this request asks for, or only a part that ends within an event. */
  public data(isComplete = true): void {
    const text = this._kind === CallKind.Stream ? eventsAfter(this._lastEventId) : CALL_BODY;
    this.bytes(isComplete ? text : text.slice(0, Math.floor(text.length / 2) + 1));
  }

  public bytes(text: string): void {
    this._tell(() => {
      this._observer.onData(Buffer.from(text));
    });
  }

  public end(): void {
    this._tell(() => {
      this._attempt.isOpen = false;
      this._observer.onEnd();
    });
  }

  public fail(): void {
    this._tell(() => {
      this._attempt.isOpen = false;
      this._observer.onError(new Error('played failure'));
    });
  }

  private get _lastEventId(): number {
    const index = this._request.headers.indexOf('Last');
    return index === -1 ? 0 : Number(this._request.headers[index + 1]);
  }

  /** Nothing reaches a sender that gave the exchange up. */
  private _tell(event: () => void): void {
    if (this._attempt.isOpen) {
      event();
    }
  }
}

type StepPlay = (target: PlayedTarget, clock: ManualClock, leave: () => void) => void;

/** Steps in which the work is certainly not done. */
const UNRUN: ReadonlySet<Step> = new Set([Step.Unreachable, Step.Misdirected, Step.RefusedUnrun]);
/** After the deadline of the request. */
const LATE_MS = DEADLINE_MS + 500;

const PLAYS: Record<Step, StepPlay> = {
  [Step.Unreachable]: (target) => {
    target.fail();
  },
  [Step.ResetAfterSending]: (target) => {
    target.receive();
    target.fail();
  },
  [Step.Misdirected]: (target) => {
    target.receive();
    target.head(421, ['Not-Run', '1']);
    target.end();
  },
  [Step.RefusedUnrun]: (target) => {
    target.receive();
    target.head(503, ['Attempt', 'a1', 'Not-Run', '1']);
    target.end();
  },
  [Step.Failed]: (target) => {
    target.receive();
    target.head(500);
    target.bytes('an error');
    target.end();
  },
  [Step.Answered]: (target) => {
    target.receive();
    target.head(200);
    target.data();
    target.end();
  },
  [Step.CutShort]: (target) => {
    target.receive();
    target.head(200);
    target.data(false);
    target.fail();
  },
  [Step.ForeignAnswer]: (target) => {
    target.receive();
    target.head(200, ['Attempt', 'other']);
    target.bytes('id: 1\ndata: foreign\n\n');
    target.end();
  },
  [Step.ExtraAnswer]: (target) => {
    target.receive();
    target.head(200);
    target.data();
    target.end();
    target.bytes('id: 9\ndata: extra\n\n');
    target.end();
  },
  [Step.Silent]: (target) => {
    target.receive();
  },
  [Step.LateAnswer]: (target, clock) => {
    target.receive();
    clock.schedule(LATE_MS, () => {
      target.head(200);
      target.data();
      target.end();
    });
  },
  [Step.CallerLeaves]: (target, _clock, leave) => {
    target.receive();
    leave();
  },
};

const CALL_BODY = 'the whole answer of a call';

function wholeBody(kind: CallKind): string {
  return kind === CallKind.Stream ? eventsAfter(0) : CALL_BODY;
}

function eventsAfter(last: number): string {
  return Array.from({ length: EVENTS }, (_each, index) => index + 1)
    .filter((id) => id > last)
    .map((id) => `id: ${id}\ndata: event ${id}\n\n`)
    .join('');
}

function targetsOf(clock: ManualClock, log: DecisionLog, service: string): TargetTable {
  const entries = Array.from({ length: TARGETS }, (_each, index): TargetEntry => ({
    id: `t${index}`,
    service,
    address: `t${index}:80`,
    availabilityZone: 'a',
    slots: 4,
    isDraining: false,
    bornAt: undefined,
  }));
  const table = new KeyedTable('targets');
  const decoder = decoderOf(entries);
  const targets = new TargetTable({ clock, table, decoder, log, isUnsettled: () => false });
  const value = Buffer.from('x');
  const records = entries.map(({ id }, offset) => ({ key: id, offset, value }));
  table.replace({ records, end: records.length });
  return targets;
}

function decoderOf(
  entries: readonly TargetEntry[],
): ConstructorParameters<typeof ConfigurationState>[1] {
  return {
    isConfiguration: () => true,
    configuration: () => Result.ok(configuration),
    target: (id) => {
      const entry = entries.find((each) => each.id === id);
      if (entry === undefined) {
        throw new Error(`no target ${id} in the play`);
      }
      return Result.ok(entry);
    },
  };
}
