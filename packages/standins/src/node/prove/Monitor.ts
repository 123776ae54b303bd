/**
 * Polls the daemons for what they have in force and the engines for what they hold, while a run goes
 * on. It takes the daemons' word only for what they admit by; memory is counted from the engines.
 */
import { setMaxListeners } from 'node:events';
import { HeldKind } from '@tanagerdyke/contracts';
import { request } from 'undici';
import * as z from 'zod';
import type { RunState } from './RunState.js';

const STATUS_INTERVAL_MS = 250;
const HELD_INTERVAL_MS = 1_000;
const HELD_TIMEOUT_MS = 1_000;
/** Time after its holder has gone within which an item must be freed. */
export const RECONCILE_BOUND_MS = 15_000;

const heldItemsSchema = z.array(
  z.object({
    id: z.string(),
    kind: z.enum(HeldKind),
    node: z.string(),
    incarnation: z.number(),
  }),
);

/** Watches one run until it is stopped. */
export class Monitor {
  private readonly _abort = new AbortController();
  private readonly _tasks: Promise<void>[] = [];
  /** Latest incarnation of each node, by the start of its process. */
  private readonly _latestIncarnations = new Map<string, number>();
  /** Since when the holder of an item is known to have gone. */
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

  /** Everything that the engines hold now. */
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

  /** A newer process of the same node means that the holder of an older item has gone. */
  private _checkHeldItem(
    name: string,
    { node, incarnation }: z.infer<typeof heldItemsSchema>[number],
  ): void {
    const latest = Math.max(this._latestIncarnations.get(node) ?? incarnation, incarnation);
    this._latestIncarnations.set(node, latest);
    const isOrphaned = incarnation < latest || !this._isRunning(node);
    if (!isOrphaned) {
      return;
    }
    const since = this._orphanedSince.get(name) ?? this._run.now;
    this._orphanedSince.set(name, since);
    if (this._run.now - since > RECONCILE_BOUND_MS) {
      this._run.leakedItems.add(name);
    }
  }

  private _isRunning(node: string): boolean {
    return this._run.fleet.daemons.some(({ name, isRunning }) => name === node && isRunning);
  }
}

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
