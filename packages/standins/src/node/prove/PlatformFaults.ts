/** Faults of the platform's log and of service answers. */
import type { Fault } from '../../common/prove/FaultSchedule.js';
import { postAdminRequest } from './postAdminRequest.js';
import type { RunState } from './RunState.js';

const CONFIGURATION_STREAM = 'configuration';

interface LogFaultSettings {
  readonly isDown?: boolean;
  readonly loseAnswers?: number;
  readonly loseRequests?: number;
  readonly slowMs?: number;
}

/** The log faults of one run; those under way at one time add up. */
export class PlatformLogFaults {
  private readonly _activeFaults = new Set<LogFaultSettings>();

  constructor(private readonly _run: RunState) {}

  public async apply({ durationMs }: Fault, fault: LogFaultSettings): Promise<void> {
    const own = { ...fault };
    this._activeFaults.add(own);
    await this._sendSettings();
    await this._run.fleet.clock.sleep(durationMs);
    this._activeFaults.delete(own);
    await this._sendSettings();
  }

  private _sendSettings(): Promise<void> {
    const merged = Object.assign({}, ...this._activeFaults) as LogFaultSettings;
    return postAdminRequest(this._run.fleet.ports.log, 'faults', merged);
  }
}

/** Drops every record of the configuration, as if its retention had passed. */
export async function expireRecords({ accepted, fleet }: RunState): Promise<void> {
  const last = Math.max(0, ...accepted.map(({ offset }) => offset));
  const path = `truncate/${CONFIGURATION_STREAM}/${last + 1}`;
  await postAdminRequest(fleet.ports.log, path, {});
}

/** A service executes calls and then loses a share of its answers. */
export async function dropServiceAnswers(
  { fleet }: RunState,
  { selector, durationMs }: Fault,
  loseAnswers: number,
): Promise<void> {
  const port = fleet.ports.services[selector % fleet.ports.services.length] ?? 0;
  await postAdminRequest(port, 'faults', { loseAnswers });
  await fleet.clock.sleep(durationMs);
  await postAdminRequest(port, 'faults', {});
}
