/**
 * Polls the daemons for the configuration in force and the engines for the items that they hold
 * during a run. Daemons are only relied on for the configuration by which they admit requests; held
 * memory is read from the engines.
 */
import { setMaxListeners } from 'node:events';
import { HeldKind } from '@tanagerdyke/contracts';
import { request } from 'undici';
import * as z from 'zod';
import type { RunState } from './RunState.js';

const STATUS_INTERVAL_MS = 250;
const HELD_INTERVAL_MS = 1_000;
const HELD_TIMEOUT_MS = 1_000;
/** Time after the end of its holder by which an item must be freed. */
export const RECONCILE_BOUND_MS = 15_000;

const heldItemsSchema = z.array(
  z.object({
    id: z.string(),
    kind: z.enum(HeldKind),
    node: z.string(),
    incarnation: z.number(),
  }),
);

/** Collects status samples and leaked items of one run until it is stopped. */
export class Monitor {
  private readonly _abort = new AbortController();
  private readonly _tasks: Promise<void>[] = [];
  /** Latest incarnation of each node in held items, which is the start time of its process. */
  private readonly _latestIncarnations = new Map<string, number>();
  /** When the holder of an item was first found to have ended, by engine and item. */
  private readonly _orphanedSince = new Map<string, number>();

  constructor(private readonly _run: RunState) {}

  public start(): void {
    const { fleet } = this._run;
    setMaxListeners(fleet.daemons.length + fleet.ports.engines.length, this._abort.signal);
    for (const index of fleet.daemons.keys()) {
      this._tasks.push(this._pollStatus(index));
    }
    for (const [index, port] of fleet.ports.engines.entries()) {
      this._tasks.push(this._pollHeldItems(`engine-${index}`, port));
    }
  }

  public async stop(): Promise<void> {
    this._abort.abort();
    await Promise.all(this._tasks);
  }

  /** Reads the ids of all items that the engines hold now. */
  public async fetchAllHeldIds(): Promise<readonly string[]> {
    const { ports } = this._run.fleet;
    const all = await Promise.all(ports.engines.map((port) => fetchHeldItems(port)));
    return all.flat().map(({ id }) => id);
  }

  private async _pollStatus(index: number): Promise<void> {
    const { clock } = this._run.fleet;
    const operator = this._run.fleet.operator(index);
    while (!this._abort.signal.aborted) {
      const status = await operator.status();
      if (status.isOk) {
        const { node, incarnation, wallTime, isReady, configuration } = status.value;
        this._run.samples.push({ node, incarnation, at: wallTime, isReady, ...configuration });
      }
      await clock.sleep(STATUS_INTERVAL_MS, this._abort.signal);
    }
  }

  private async _pollHeldItems(engine: string, port: number): Promise<void> {
    const { clock } = this._run.fleet;
    while (!this._abort.signal.aborted) {
      for (const item of await fetchHeldItems(port)) {
        this._checkHeldItem(`${engine}/${item.id}`, item);
      }
      await clock.sleep(HELD_INTERVAL_MS, this._abort.signal);
    }
  }

  /**
   * Records an item as leaked if its holder ended more than `RECONCILE_BOUND_MS` ago. A holder has
   * ended if its node is not running or an item of a later incarnation of the node was seen.
   */
  private _checkHeldItem(
    itemName: string,
    { node, incarnation }: z.infer<typeof heldItemsSchema>[number],
  ): void {
    const latest = Math.max(this._latestIncarnations.get(node) ?? incarnation, incarnation);
    this._latestIncarnations.set(node, latest);
    const isOrphaned = incarnation < latest || !this._isRunning(node);
    if (!isOrphaned) {
      return;
    }
    const orphanedAt = this._orphanedSince.get(itemName) ?? this._run.now;
    this._orphanedSince.set(itemName, orphanedAt);
    if (this._run.now - orphanedAt > RECONCILE_BOUND_MS) {
      this._run.leakedItems.add(itemName);
    }
  }

  private _isRunning(node: string): boolean {
    return this._run.fleet.daemons.some(({ name, isRunning }) => name === node && isRunning);
  }
}

/** Reads the items that an engine holds; empty if the engine doesn't respond. */
async function fetchHeldItems(port: number): Promise<z.infer<typeof heldItemsSchema>> {
  try {
    const { body } = await request(`http://127.0.0.1:${port}/held`, {
      signal: AbortSignal.timeout(HELD_TIMEOUT_MS),
    });
    return heldItemsSchema.parse(await body.json());
  } catch {
    return [];
  }
}
