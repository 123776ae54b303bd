/**
 * Sends a planned workload to a fleet, open loop, and records the outcome of each request. Answers
 * are checked on the caller's side: the prompt determines every token that an engine generates.
 */
import type { CallerClient } from '@tanagerdyke/ctl';
import { type Clock, type ErrorKind, NotRun, type ServiceError } from '@tanagerdyke/kernel';
import { v7 as uuidv7 } from 'uuid';
import { answerDigest, prefixesOf, tokenAt } from '../common/EngineEmulator.js';
import { COMPLETION_ROUTE, SERVICE_ROUTE } from '../common/FleetPlan.js';
import { OutcomeKind } from '../common/OutcomeKind.js';
import { type Arrival, ArrivalKind } from '../common/WorkloadPlan.js';
import type { Fleet } from './Fleet.js';

export { OutcomeKind };

/** The outcome of a request for its caller. Times are real milliseconds since the planned send. */
export interface Outcome {
  readonly arrival: Arrival;
  readonly ending: OutcomeKind;
  /** Idempotency key of a call; empty for a completion. */
  readonly key: string;
  /** Address of the last daemon that the request was sent to; empty if there was none. */
  readonly entry: string;
  /** Wall time of that send, or of the start of the attempt if there was none. */
  readonly sentAt: number;
  /** Equals `totalMs` for a call and for a completion without a token. */
  readonly firstTokenMs: number;
  readonly totalMs: number;
  /** Gaps between consecutive events with tokens. */
  readonly gapsMs: readonly number[];
  /** Kind of the error of a failed request. */
  readonly kind?: ErrorKind;
  readonly message?: string;
  readonly retryAfterMs?: number;
}

/** Options of a load runner. */
export interface LoadRunnerOptions {
  /** Route of the completions. */
  readonly route: string;
  /** One-way delay between a caller and the daemons, added to completions in both directions. */
  readonly callerDelayMs: number;
}

const DEFAULT_OPTIONS: LoadRunnerOptions = { route: COMPLETION_ROUTE, callerDelayMs: 0 };

/** Sends workloads through one client for each workspace and availability zone. */
export class LoadRunner {
  private readonly _callers = new Map<string, CallerClient>();
  private readonly _clock: Clock;

  constructor(
    private readonly _fleet: Fleet,
    private readonly _options: LoadRunnerOptions = DEFAULT_OPTIONS,
  ) {
    this._clock = _fleet.clock;
  }

  /** Sends each arrival at its time and resolves when all have ended; `onOutcome` reports each. */
  public async run(
    arrivals: readonly Arrival[],
    onOutcome: (outcome: Outcome) => void = () => undefined,
  ): Promise<readonly Outcome[]> {
    const startedAt = this._clock.now();
    const tasks: Promise<Outcome>[] = [];
    for (const arrival of arrivals) {
      await this._clock.sleep(startedAt + arrival.atMs - this._clock.now());
      tasks.push(this._send(arrival, startedAt + arrival.atMs, onOutcome));
    }
    return Promise.all(tasks);
  }

  private async _send(
    arrival: Arrival,
    plannedAt: number,
    onOutcome: (outcome: Outcome) => void,
  ): Promise<Outcome> {
    const outcome =
      arrival.kind === ArrivalKind.Completion
        ? await this._sendCompletion(arrival, plannedAt)
        : await this._sendCall(arrival, plannedAt);
    onOutcome(outcome);
    return outcome;
  }

  private async _sendCompletion(arrival: Arrival, plannedAt: number): Promise<Outcome> {
    const { callerDelayMs } = this._options;
    const eventTimes: number[] = [];
    await this._clock.sleep(callerDelayMs);
    const lastSend = { entry: '', sentAt: this._clock.wallTime() };
    const answer = await this._callerFor(arrival).complete({
      route: this._options.route,
      prompt: arrival.prompt,
      maxTokens: arrival.maxTokens,
      deadlineMs: arrival.deadlineMs,
      onTokens: () => eventTimes.push(this._clock.now()),
      onSend: (address) => {
        Object.assign(lastSend, { entry: address, sentAt: this._clock.wallTime() });
      },
    });
    const base = {
      ...lastSend,
      arrival,
      key: '',
      firstTokenMs: (eventTimes[0] ?? this._clock.now()) - plannedAt + callerDelayMs,
      totalMs: this._clock.now() - plannedAt + callerDelayMs,
      gapsMs: eventTimes.slice(1).map((at, index) => at - (eventTimes[index] ?? at)),
    };
    if (answer.isErr) {
      return { ...base, ...failureFields(answer.error) };
    }
    const isExpected = isExpectedAnswer(arrival, answer.value.tokens, answer.value.digest);
    return { ...base, ending: isExpected ? OutcomeKind.Answered : OutcomeKind.Crossed };
  }

  private _sendCall(arrival: Arrival, plannedAt: number): Promise<Outcome> {
    const body = JSON.stringify({ order: arrival.index });
    return this.sendKeyedCall(arrival, plannedAt, uuidv7(), body);
  }

  /** Sends one call with the given idempotency key and body. */
  public async sendKeyedCall(
    arrival: Arrival,
    plannedAt: number,
    key: string,
    body: string,
  ): Promise<Outcome> {
    const lastSend = { entry: '', sentAt: this._clock.wallTime() };
    const caller = this._callerFor(arrival);
    const answer = await caller.call(SERVICE_ROUTE, key, body, arrival.deadlineMs, (address) => {
      Object.assign(lastSend, { entry: address, sentAt: this._clock.wallTime() });
    });
    const totalMs = this._clock.now() - plannedAt;
    const base = { ...lastSend, arrival, key, firstTokenMs: totalMs, totalMs, gapsMs: [] };
    if (answer.isErr) {
      return { ...base, ...failureFields(answer.error) };
    }
    const isExpected = answer.value.body.includes(key);
    return { ...base, ending: isExpected ? OutcomeKind.Answered : OutcomeKind.Crossed };
  }

  private _callerFor({ workspace, availabilityZone }: Arrival): CallerClient {
    const name = `${workspace}/${availabilityZone}`;
    let caller = this._callers.get(name);
    if (caller === undefined) {
      caller = this._fleet.caller(workspace, availabilityZone);
      this._callers.set(name, caller);
    }
    return caller;
  }
}

/** Whether an answer is the complete answer to exactly this prompt. */
export function isExpectedAnswer(
  { maxTokens, prompt }: Pick<Arrival, 'maxTokens' | 'prompt'>,
  tokens: readonly string[],
  digest: string,
): boolean {
  const promptDigest = prefixesOf({ prompt }).at(-1)?.prefix ?? '';
  return (
    tokens.length === maxTokens &&
    tokens.every((token, position) => token === tokenAt(promptDigest, position)) &&
    digest === answerDigest(promptDigest, maxTokens)
  );
}

const OUTCOME_BY_NOT_RUN: Record<NotRun, OutcomeKind> = {
  [NotRun.True]: OutcomeKind.NotRun,
  [NotRun.False]: OutcomeKind.Failed,
  [NotRun.Unknown]: OutcomeKind.Unknown,
};

function failureFields(
  error: ServiceError,
): Pick<Outcome, 'ending' | 'kind' | 'message' | 'retryAfterMs'> {
  const { kind, message, notRun, retryAfterMs } = error;
  return { ending: OUTCOME_BY_NOT_RUN[notRun], kind, message, retryAfterMs };
}
