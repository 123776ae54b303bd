/** Injects the faults of a schedule into a running fleet and ends each after its duration. */
import { type Fault, FaultKind } from '../../common/prove/FaultSchedule.js';
import { sendDuplicateCalls } from './DuplicateCallers.js';
import { LinkFaults } from './LinkFaults.js';
import { leaveByConfiguration, leaveByHostList, leaveByTarget } from './LeavingFaults.js';
import { expireRecords, PlatformLogFaults, dropServiceAnswers } from './PlatformFaults.js';
import {
  freezeDaemon,
  freezeStandIn,
  killDaemon,
  killStandIn,
  restartDaemonsOneByOne,
} from './ProcessFaults.js';
import { raceOperators } from './OperatorFaults.js';
import type { RunState } from './RunState.js';

type FaultHandler = (fault: Fault) => Promise<void>;

/** Maps each kind of fault to its handler and runs the handlers at the scheduled times. */
export class FaultInjector {
  private readonly _handlers: Record<FaultKind, FaultHandler>;

  constructor(private readonly _run: RunState) {
    const run = _run;
    const links = new LinkFaults(run);
    const log = new PlatformLogFaults(run);
    this._handlers = {
      [FaultKind.KillDaemon]: (fault) => killDaemon(run, fault),
      [FaultKind.KillEngine]: (fault) => killStandIn(run, fault, 'engine'),
      [FaultKind.KillService]: (fault) => killStandIn(run, fault, 'service'),
      [FaultKind.FreezeDaemon]: (fault) => freezeDaemon(run, fault),
      [FaultKind.FreezeEngine]: (fault) => freezeStandIn(run, fault, 'engine'),
      [FaultKind.FreezeService]: (fault) => freezeStandIn(run, fault, 'service'),
      [FaultKind.AsymmetricCut]: (fault) => links.cutOneWay(fault),
      [FaultKind.ZoneCut]: (fault) => links.cutZone(fault),
      [FaultKind.PlatformCut]: (fault) => links.cutPlatform(fault),
      [FaultKind.Loss]: (fault) => links.dropMessages(fault),
      [FaultKind.PlatformDown]: (fault) => log.apply(fault, { isDown: true }),
      [FaultKind.PlatformSlow]: (fault) => log.apply(fault, { slowMs: PLATFORM_DELAY_MS }),
      [FaultKind.LostAnswers]: (fault) => log.apply(fault, { loseAnswers: LOSS_RATE }),
      [FaultKind.LostRequests]: (fault) => log.apply(fault, { loseRequests: LOSS_RATE }),
      [FaultKind.LostServiceAnswers]: (fault) => dropServiceAnswers(run, fault, LOSS_RATE),
      [FaultKind.Expiry]: () => expireRecords(run),
      [FaultKind.RacingOperators]: (fault) => raceOperators(run, fault),
      [FaultKind.LeavingByConfiguration]: (fault) => leaveByConfiguration(run, fault),
      [FaultKind.LeavingByHostList]: (fault) => leaveByHostList(run, fault),
      [FaultKind.LeavingByTarget]: (fault) => leaveByTarget(run, fault),
      [FaultKind.RollingRestart]: () => restartDaemonsOneByOne(run),
      [FaultKind.DuplicateCallers]: (fault) => sendDuplicateCalls(run, fault),
    };
  }

  /** Resolves when all faults have been injected and have ended. */
  public async inject(faults: readonly Fault[]): Promise<void> {
    const { clock } = this._run.fleet;
    const startedAt = clock.now();
    const tasks: Promise<void>[] = [];
    for (const fault of faults) {
      await clock.sleep(startedAt + fault.atMs - clock.now());
      tasks.push(this._injectFault(fault));
    }
    await Promise.all(tasks);
  }

  private async _injectFault(fault: Fault): Promise<void> {
    const { faultCounts } = this._run;
    faultCounts.set(fault.kind, (faultCounts.get(fault.kind) ?? 0) + 1);
    await this._handlers[fault.kind](fault);
  }
}

/** Added to each answer of the platform log. */
const PLATFORM_DELAY_MS = 1_500;
/** Share of answers or requests that are lost. */
const LOSS_RATE = 0.3;
