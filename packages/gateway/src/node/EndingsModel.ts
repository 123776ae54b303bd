/**
 * Plays a request against targets that do what a script says, on a manual clock, and tells which
 * promises to callers its ending broke. The forwarders are the real ones; only sockets are played.
 * Not shipped.
 */
import { EventEmitter } from 'node:events';
import type { ServerResponse } from 'node:http';
import { ManualClock } from '@tanagerdyke/kernel';
import { CallKind } from '../common/Messages.js';
import { CallerResponse, OwnStatus } from './CallerResponse.js';
import { type Attempt, PlayedTarget, PLAYS, Step, UNRUN, wholeBody } from './EndingsSteps.js';
import type { ForwardedRequest, ForwardingParts, RequestReport } from './ForwardedRequest.js';
import { configuration, targetEntry, TestForwarding } from './TestForwarding.js';
import type { Exchange, ExchangeObserver, RequestSender, UpstreamRequest } from './Upstream.js';

const DEADLINE_MS = 3_000;
/** Longer than any wait of a forwarder. */
const WHOLE_PLAY_MS = 10_000;
const TARGETS = 4;

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
    const test = new TestForwarding({ clock: this._clock, upstream: this._sender });
    const service = this._kind === CallKind.Stream ? 'engine' : 'app';
    for (let index = 0; index < TARGETS; index++) {
      test.offer(targetEntry(`t${index}`, service, `t${index}:80`));
    }
    return test.parts;
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
