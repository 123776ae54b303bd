/** A prompt to be placed on engines, and the reasons for which it is not placed. */
import type { EngineProfile } from '../Messages.js';
import type { EngineCell } from './EngineCells.js';

/** A prompt to be placed. Times are on the clock of the node that decides. */
export interface PromptRequest {
  /** Identifies the prompt among those of its entry node. */
  readonly id: string;
  /** Name of the entry node, at which the prompt was received. */
  readonly node: string;
  readonly availabilityZone: string;
  /** The engines to choose from. */
  readonly cell: EngineCell;
  readonly profile: EngineProfile;
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly latencyTargetMs: number;
  readonly pauseTargetMs: number;
  /** When the first event is due. */
  readonly dueAt: number;
  /** The deadline of the caller. */
  readonly deadlineAt: number;
  /** Name of the caller's workspace; empty when it has none. */
  readonly workspace: string;
  /** Whether the caller was refused before, by the time that it has left. */
  readonly isReturning: boolean;
  /** Ids of engines that failed this request. */
  readonly excluded: ReadonlySet<string>;
  /** Ids of engines that recently failed other requests of the entry node. */
  readonly suspects: ReadonlySet<string>;
}

/** Why a prompt is not placed. */
export enum PlacementRefusal {
  /** No engine of the service accepts requests. */
  NoEngine = 'no-engine',
  /** All engines of the service are in evacuated zones. Not sent by coordinators. */
  Evacuated = 'evacuated',
  /** No engine has capacity within the time that the prompt can wait. */
  NoCapacity = 'no-room',
  /** All engines limit the rate of their requests. */
  RateLimited = 'rate-limited',
  /** All engines asked this node for a pause. */
  Paused = 'paused',
  /** The prompt would cost other requests more than it is worth. */
  NetLoss = 'harmful',
  /** The caller disconnected while the prompt waited. */
  CallerDisconnected = 'caller-left',
}

/** The refusal of a prompt, with its reason. */
export class RefusedPrompt {
  constructor(
    public readonly refusal: PlacementRefusal,
    /** Number of engines of the cell that accept requests, including those excluded. */
    public readonly engineCount: number,
    /** Time after which the prompt is likely to be placed, so that the caller should retry. */
    public readonly retryAfterMs: number,
    /** Number of waiting prompts that would have been served before it. */
    public readonly ahead = 0,
  ) {}
}

/** A placement on engines of which some can't be used by the entry node. */
export class UnusableChoice {
  constructor(
    /** Ids of the engines that it has no record of, or that accept no request now. */
    public readonly engines: readonly string[],
  ) {}
}
