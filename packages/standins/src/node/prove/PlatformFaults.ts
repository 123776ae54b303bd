/** Faults of the platform log, and lost answers of plain services. */
import type { Fault } from '../../common/prove/FaultSchedule.js';
import { postAdminRequest } from './postAdminRequest.js';
import type { RunState } from './RunState.js';

const CONFIGURATION_STREAM = 'configuration';

/** Switches of the log stand-in; a switch that is not set is off. */
interface LogFaultSettings {
  readonly isDown?: boolean;
  readonly loseAnswers?: number;
  readonly loseRequests?: number;
  readonly slowMs?: number;
}

/** Switches faults of the platform log on and off; faults that overlap are combined. */
export class PlatformLogFaults {
  private readonly _activeFaults = new Set<LogFaultSettings>();

  constructor(private readonly _run: RunState) {}

  public async apply({ durationMs }: Fault, fault: LogFaultSettings): Promise<void> {
    const activeFault = { ...fault };
    this._activeFaults.add(activeFault);
    await this._sendSettings();
    await this._run.fleet.clock.sleep(durationMs);
    this._activeFaults.delete(activeFault);
    await this._sendSettings();
  }

  private _sendSettings(): Promise<void> {
    const merged = Object.assign({}, ...this._activeFaults) as LogFaultSettings;
    return postAdminRequest(this._run.fleet.ports.log, 'faults', merged);
  }
}

/** Drops all configuration records up to the last accepted change, as if they had expired. */
export async function expireRecords({ accepted, fleet }: RunState): Promise<void> {
  const last = Math.max(0, ...accepted.map(({ offset }) => offset));
  const path = `truncate/${CONFIGURATION_STREAM}/${last + 1}`;
  await postAdminRequest(fleet.ports.log, path, {});
}

/** Makes a service drop a share of its answers after it has executed the calls. */
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
