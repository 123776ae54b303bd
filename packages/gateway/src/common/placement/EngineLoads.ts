/**
 * The loads of engines, computed again only where they can have changed. Load pattern: each decision
 * needs the loads of all engines of a cell, and few of them have changed since the one before. The
 * load of an engine that prefills changes with time; that of any other one only with its requests.
 */
import type { EngineProfile, TargetEntry } from '../Messages.js';
import type { ActiveRequestTable } from './ActiveRequestTable.js';
import { computeLoad, type EngineLoad } from './EngineLoad.js';

/** Kept loads are discarded at this number, since those of engines that are gone stay until then. */
const MAX_ENGINES = 1_000;

interface SteadyLoad {
  readonly version: number;
  readonly entry: TargetEntry;
  readonly profile: EngineProfile;
  readonly load: EngineLoad;
}

/** Holds the loads of engines without pending prefill. */
export class EngineLoads {
  private readonly _steady = new Map<string, SteadyLoad>();

  constructor(private readonly _table: Pick<ActiveRequestTable, 'requestsOn'>) {}

  /** The load of an engine now. */
  public loadOf(
    profile: EngineProfile,
    entry: TargetEntry,
    now: number,
    slowdown: number,
  ): EngineLoad {
    const on = this._table.requestsOn(entry.id);
    const steady = this._steady.get(entry.id);
    if (
      steady?.version === on.version &&
      steady.entry === entry &&
      steady.profile === profile &&
      steady.load.slowdown === slowdown
    ) {
      return steady.load;
    }
    const requests = [...on.requests.values()];
    const load = computeLoad(profile, entry, requests, now, slowdown);
    if (requests.every(({ isGenerating }) => isGenerating)) {
      if (this._steady.size >= MAX_ENGINES && steady === undefined) {
        this._steady.clear();
      }
      this._steady.set(entry.id, { version: on.version, entry, profile, load });
    }
    return load;
  }
}
