/**
 * Decides, right before the first byte of a request is sent, whether its target may still get it.
 * Load pattern: requests wait for a connection, or prompts for capacity, and meanwhile the target
 * states that it takes no more. Whatever was decided when the target was chosen is out of date then.
 */
import type { TargetEntry } from '../Messages.js';
import type { CrashQuarantine } from '../quarantine/CrashQuarantine.js';
import type { TargetTable } from '../state/TargetTable.js';
import type { RateLimits } from './RateLimits.js';
import type { TargetHealth } from './TargetHealth.js';
import type { TargetPauses } from './TargetPauses.js';

/** Why a request is not sent to the target that was chosen for it. */
export enum SendObstacle {
  /** The target, or one that prefills for it, drains, is leaving or gone, or its zone is evacuated. */
  NotAccepting = 'not-accepting',
  Paused = 'paused',
  /** The request was quarantined since its target was chosen. */
  Quarantined = 'quarantined',
  /** The target became suspect since it was chosen. */
  Suspect = 'suspect',
  /** A part of the request can't be written, such as a header with a control character. */
  Unsendable = 'unsendable',
  RateLimited = 'rate-limited',
  /** This node has answered the request by itself. */
  Answered = 'answered',
}

/** A request with the target that was chosen for it. */
export interface ChosenTarget {
  readonly target: TargetEntry;
  /** Targets that work on the request, for whose request rates it counts. */
  readonly countedTargets: readonly string[];
  /** Identifies the request among those that count for these rates. */
  readonly rateKey: string;
  /** What crashes under the request may be attributed to. */
  readonly causes: readonly string[];
  readonly isAnswered: () => boolean;
}

/** The state on which the decision depends. */
export interface SendCheckServices {
  readonly targets: TargetTable;
  readonly pauses: TargetPauses;
  readonly quarantine: CrashQuarantine;
  readonly health: TargetHealth;
  readonly rateLimits: RateLimits;
}

/** What was accepted when the target was chosen. */
interface StateAtChoice {
  readonly wasBlocked: boolean;
  readonly wasSuspect: boolean;
}

type ObstacleCheck = (
  services: SendCheckServices,
  chosen: ChosenTarget,
  atChoice: StateAtChoice,
) => boolean;

/** In this order; the last one counts the request if it is new to the rates. */
const OBSTACLE_CHECKS: Readonly<Record<SendObstacle, ObstacleCheck>> = {
  [SendObstacle.NotAccepting]: ({ targets }, { countedTargets, target }) =>
    [target.id, ...countedTargets].some((id) => !targets.acceptsRequests(id)),
  [SendObstacle.Paused]: ({ pauses }, { target }) => pauses.isPaused(target.id),
  // A request that was let through a quarantine was blocked when it was chosen.
  [SendObstacle.Quarantined]: ({ quarantine }, { causes }, { wasBlocked }) =>
    !wasBlocked && quarantine.hasBlocked(causes),
  [SendObstacle.Suspect]: ({ health }, { target }, { wasSuspect }) =>
    !wasSuspect && health.isSuspect(target.id),
  // Seen only when the request is written.
  [SendObstacle.Unsendable]: () => false,
  [SendObstacle.Answered]: (_services, { isAnswered }) => isAnswered(),
  [SendObstacle.RateLimited]: ({ rateLimits }, { countedTargets, rateKey }) =>
    !rateLimits.confirm(countedTargets, rateKey),
};

/** Checks one request; created when its target is chosen. */
export class SendCheck {
  private readonly _atChoice: StateAtChoice;

  constructor(
    private readonly _services: SendCheckServices,
    private readonly _chosen: ChosenTarget,
  ) {
    this._atChoice = {
      wasBlocked: _services.quarantine.hasBlocked(_chosen.causes),
      wasSuspect: _services.health.isSuspect(_chosen.target.id),
    };
  }

  /** Returns why the request must not be sent now; `undefined` if it may be. */
  public findObstacle(): SendObstacle | undefined {
    return Object.values(SendObstacle).find((obstacle) =>
      OBSTACLE_CHECKS[obstacle](this._services, this._chosen, this._atChoice),
    );
  }
}
