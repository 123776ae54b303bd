/**
 * Serves completions according to the policy of their route. Baselines that place prompts
 * themselves bypass the reservations of the target owners; all other policies use the shipped
 * mechanism.
 */
import {
  CompletionService,
  type CompletionFrames,
  type CompletionOptions,
  type CompletionRequest,
  type CompletionServer,
  Placer,
  type PlacerOptions,
} from '@tanagerdyke/serving';
import { Baseline } from './BaselinePolicies.js';
import { ShortestFirstGate } from './ShortestFirstGate.js';

/** Concurrent prefills per entry node under shortest prompt first. */
const PREFILL_SLOTS = 3;
const GATED_POLICIES = new Set<string>([Baseline.ShortestFirst]);
const POLICIES_WITHOUT_RESERVATIONS = new Set<string>([
  Baseline.RoundRobin,
  Baseline.RandomTwo,
  Baseline.LaggedLeastLoaded,
  Baseline.ShortestFirst,
]);

/** Dispatches each completion to the mechanism that its route's policy requires. */
export class BaselineServer implements CompletionServer {
  private readonly _shipped: CompletionServer;
  private readonly _withoutReservations: CompletionServer;
  private readonly _gate = new ShortestFirstGate(PREFILL_SLOTS);

  /** `baselinePlacer` configures the placer of the policies that bypass reservations. */
  constructor(options: CompletionOptions, baselinePlacer: PlacerOptions) {
    this._shipped = new CompletionService(options);
    this._withoutReservations = new CompletionService({
      ...options,
      reservations: baselinePlacer.reservations,
      placer: new Placer(baselinePlacer),
    });
  }

  public complete(request: CompletionRequest, signal: AbortSignal): CompletionFrames {
    const { policy } = request.route;
    if (GATED_POLICIES.has(policy)) {
      return this._completeThroughGate(request, signal);
    }
    const server = POLICIES_WITHOUT_RESERVATIONS.has(policy)
      ? this._withoutReservations
      : this._shipped;
    return server.complete(request, signal);
  }

  /** Holds a slot of the gate until the first frame arrives or the request ends. */
  private async *_completeThroughGate(
    request: CompletionRequest,
    signal: AbortSignal,
  ): CompletionFrames {
    await this._gate.enter(request.promptTokens);
    let holdsSlot = true;
    try {
      for await (const frame of this._withoutReservations.complete(request, signal)) {
        if (holdsSlot) {
          holdsSlot = false;
          this._gate.leave();
        }
        yield frame;
      }
    } finally {
      if (holdsSlot) {
        this._gate.leave();
      }
    }
  }
}
