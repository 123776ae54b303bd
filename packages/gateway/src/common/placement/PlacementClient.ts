/**
 * Asks coordinators for placements, in datagrams. A coordinator may be dead, frozen or cut off at
 * any time, and a prompt must not wait long for it: without an answer within a few round trips
 * it counts as unresponsive, and is asked again by one prompt at a time only.
 */
import { type Clock, DisposableOwner } from '@tanagerdyke/kernel';
import {
  encodeNotification,
  type Member,
  notificationParser,
  type Transport,
} from '@tanagerdyke/mesh';
import type { DecisionLog } from '../DecisionLog.js';
import type { TargetEntry } from '../Messages.js';
import {
  CANCEL_METHOD,
  decodeDecision,
  encodeRequest,
  parsePlacementAnswer,
  PLACE_METHOD,
  PLACED_METHOD,
  type WirePlacementAnswer,
} from './PlacementCodec.js';
import type { PromptRequest, RefusedPrompt, UnusableChoice } from './PlacementDecision.js';
import type { PromptPlacement } from './PromptPlacer.js';

/** When a request is repeated, and after which silence its coordinator is unresponsive. */
interface RequestTiming {
  readonly repeatMs: number;
  readonly silenceLimitMs: number;
}

/** Until the first answer. Datagrams get lost, and the limit is several round trips. */
const UNANSWERED: RequestTiming = { repeatMs: 30, silenceLimitMs: 75 };
/** While the prompt is in the queue. In a burst many are, and each copy takes time to answer. */
const QUEUED: RequestTiming = { repeatMs: 100, silenceLimitMs: 250 };
/** Time until an unresponsive coordinator is asked again. */
const UNRESPONSIVE_MS = 1_000;

const parseAnswer = notificationParser(PLACED_METHOD, parsePlacementAnswer);

export interface PlacementClientOptions {
  readonly clock: Clock;
  readonly transport: Transport;
  readonly log: DecisionLog;
  /** Returns an engine that accepts requests. */
  readonly findEngine: (id: string) => TargetEntry | undefined;
}

/** What a coordinator decided. */
export type CoordinatorAnswer = PromptPlacement | RefusedPrompt | UnusableChoice;

interface PendingRequest {
  timing: RequestTiming;
  lastAnswerAt: number;
  readonly resolve: (answer: WirePlacementAnswer) => void;
}

/** Sends placement requests of this node and receives their answers. */
export class PlacementClient extends DisposableOwner {
  private readonly _pending = new Map<string, PendingRequest>();
  private readonly _unresponsiveUntil = new Map<string, number>();

  constructor(private readonly _options: PlacementClientOptions) {
    super();
    this.register(
      _options.transport.onDatagram((payload) => {
        this._receive(payload);
      }),
    );
  }

  /** Whether to ask a coordinator; one that was unresponsive is asked by the first caller only. */
  public shouldAsk({ peerAddress }: Pick<Member, 'peerAddress'>): boolean {
    const now = this._options.clock.now();
    const until = this._unresponsiveUntil.get(peerAddress);
    if (until === undefined) {
      return true;
    }
    if (now < until) {
      return false;
    }
    this._unresponsiveUntil.set(peerAddress, now + UNRESPONSIVE_MS);
    return true;
  }

  /**
   * Asks a coordinator. Returns `undefined` if it does not respond, or if the caller disconnects;
   * in both cases the request is withdrawn.
   */
  public async ask(
    { peerAddress }: Pick<Member, 'peerAddress'>,
    request: PromptRequest,
    waitUntil: number,
    signal: AbortSignal,
  ): Promise<CoordinatorAnswer | undefined> {
    const { clock, findEngine, log, transport } = this._options;
    let answer: WirePlacementAnswer | undefined;
    const answered = new AbortController();
    const woken = AbortSignal.any([answered.signal, signal]);
    const pending: PendingRequest = {
      timing: UNANSWERED,
      lastAnswerAt: clock.now(),
      resolve: (received) => {
        answer = received;
        answered.abort();
      },
    };
    this._pending.set(request.id, pending);
    while (answer === undefined && !signal.aborted && this._isResponsive(pending)) {
      const wire = encodeRequest(request, transport.address, waitUntil, clock.now());
      transport.sendDatagram(peerAddress, encodeNotification(PLACE_METHOD, wire));
      await clock.sleep(pending.timing.repeatMs, woken);
    }
    this._pending.delete(request.id);
    if (answer === undefined || answer.state === 'waiting') {
      this._withdraw(peerAddress, request, signal);
      return undefined;
    }
    if (this._unresponsiveUntil.delete(peerAddress)) {
      log.write('coordinator.regained', { coordinator: peerAddress });
    }
    return decodeDecision(answer, findEngine);
  }

  private _isResponsive({ lastAnswerAt, timing }: PendingRequest): boolean {
    return this._options.clock.now() - lastAnswerAt < timing.silenceLimitMs;
  }

  private _withdraw(address: string, { id, node }: PromptRequest, signal: AbortSignal): void {
    const { clock, log, transport } = this._options;
    if (!signal.aborted) {
      if (!this._unresponsiveUntil.has(address)) {
        log.write('coordinator.silent', { coordinator: address, placement: id });
      }
      this._unresponsiveUntil.set(address, clock.now() + UNRESPONSIVE_MS);
    }
    transport.sendDatagram(address, encodeNotification(CANCEL_METHOD, { node, id }));
  }

  private _receive(payload: string): void {
    const answer = parseAnswer(payload);
    const pending = answer === undefined ? undefined : this._pending.get(answer.id);
    if (answer === undefined || pending === undefined) {
      return;
    }
    pending.lastAnswerAt = this._options.clock.now();
    if (answer.state === 'waiting') {
      pending.timing = QUEUED;
    } else {
      pending.resolve(answer);
    }
  }
}
