/**
 * Simulates a request to scripted targets on a manual clock and returns the violated guarantees to
 * the caller, for tests. The forwarders are the real ones; only the sockets are simulated. Not
 * shipped.
 */
import { ManualClock, runInBackground } from '@tanagerdyke/kernel';
import { CallKind } from '../common/Messages.js';
import { GatewayStatus } from './CallerResponse.js';
import type {
  ForwardedRequest,
  ForwardingDependencies,
  RequestReport,
} from './ForwardedRequest.js';
import { ForwardingFixture, targetEntry } from './ForwardingFixture.js';
import { SimulatedCaller, simulatedRequest } from './SimulatedCaller.js';
import {
  type Attempt,
  expectedBody,
  SimulatedTarget,
  Step,
  STEP_ACTIONS,
  NOT_RUN_STEPS,
} from './SimulatedTarget.js';
import type { Exchange, ExchangeObserver, RequestSender, UpstreamRequest } from './Upstream.js';

/** Longer than any timeout of a forwarder. */
const SIMULATED_MS = 10_000;
const TARGETS = 4;

/** Guarantees to the caller that a request can violate. */
export enum Violation {
  RanTwice = 'ran twice',
  FalseRefusal = 'a refusal says that it did not run, though it may have',
  WrongBytes = 'bytes of another answer, in the wrong order, or twice',
  LooksComplete = 'an incomplete answer looks complete',
  TooManyAttempts = 'sent more often than the route allows',
  SentAfterDisconnect = 'sent or kept running after the caller left',
  NoAnswer = 'no final answer',
}

type Forwarder = (
  dependencies: ForwardingDependencies,
  request: ForwardedRequest,
) => Promise<RequestReport>;

/** The forwarders under test; a test may pass faulty ones. */
export interface Forwarders {
  readonly call: Forwarder;
  readonly stream: Forwarder;
}

/** Simulates one request and returns its violations. */
export async function simulateRequest(
  forwarders: Forwarders,
  kind: CallKind,
  maxAttempts: number,
  script: readonly Step[],
): Promise<Violation[]> {
  const simulation = new RequestSimulation(kind, maxAttempts, script);
  await simulation.run(forwarders);
  return simulation.violations();
}

/** The simulation of one request, with its caller and its targets. */
class RequestSimulation {
  private readonly _clock = new ManualClock();
  private readonly _disconnected = new AbortController();
  private readonly _caller = new SimulatedCaller();
  private readonly _attempts: Attempt[] = [];
  private _isFinished = false;

  constructor(
    private readonly _kind: CallKind,
    private readonly _maxAttempts: number,
    private readonly _script: readonly Step[],
  ) {}

  public async run(forwarders: Forwarders): Promise<void> {
    const forward = this._kind === CallKind.Stream ? forwarders.stream : forwarders.call;
    runInBackground('request', async () => {
      await forward(this._createDependencies(), this._createRequest());
      this._isFinished = true;
    });
    await this._clock.advance(SIMULATED_MS);
  }

  public violations(): Violation[] {
    const arrived = this._attempts.filter(({ hasArrived }) => hasArrived);
    const ran = this._attempts.filter(({ mayHaveRun }) => mayHaveRun);
    const { body, isComplete, status } = this._caller;
    const hasDisconnected = this._disconnected.signal.aborted;
    const found: Record<Violation, boolean> = {
      [Violation.RanTwice]: this._kind === CallKind.NonIdempotent && ran.length > 1,
      [Violation.FalseRefusal]: status === GatewayStatus.Refused && ran.length > 0,
      [Violation.WrongBytes]: status === 200 && !expectedBody(this._kind).startsWith(body),
      [Violation.LooksComplete]: status === 200 && isComplete && body !== expectedBody(this._kind),
      // Refusals by readers, and those of a stream that has begun, have a limit of their own.
      [Violation.TooManyAttempts]: ran.length > this._maxAttempts,
      [Violation.SentAfterDisconnect]:
        hasDisconnected && arrived.some((each) => each.isAfterDisconnect || each.isOpen),
      [Violation.NoAnswer]: !this._isFinished || (!hasDisconnected && !this._caller.isOver),
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
      mayHaveRun: !NOT_RUN_STEPS.has(step),
      isOpen: true,
      isAfterDisconnect: this._disconnected.signal.aborted,
    };
    this._attempts.push(attempt);
    const target = new SimulatedTarget(this._kind, request, observer, attempt);
    // The sender returns the exchange before its first event.
    this._clock.schedule(1, () => {
      if (attempt.isOpen) {
        STEP_ACTIONS[step](target, this._clock, () => {
          this._caller.disconnect();
          this._disconnected.abort();
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

  private _createDependencies(): ForwardingDependencies {
    const fixture = new ForwardingFixture({ clock: this._clock, upstream: this._sender });
    const service = this._kind === CallKind.Stream ? 'engine' : 'app';
    for (let index = 0; index < TARGETS; index++) {
      fixture.addTarget(targetEntry(`t${index}`, service, `t${index}:80`));
    }
    return fixture.dependencies;
  }

  private _createRequest(): ForwardedRequest {
    return simulatedRequest(this._clock, this._kind, this._caller, {
      maxAttempts: this._maxAttempts,
      signal: this._disconnected.signal,
    });
  }
}
