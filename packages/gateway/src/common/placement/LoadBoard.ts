/**
 * The work of all entry nodes on all engines. Each node knows its own requests exactly and tells the
 * others when one starts, begins to generate or ends; a node that falls silent or leaves takes its
 * work with it. Times are kept on this node's clock.
 */
import { type Clock, DisposableOwner, Emitter } from '@tanagerdyke/kernel';

/** One request on engines. */
export interface EngineWork {
  /** Unique within its node. */
  readonly id: string;
  /** Engines that read the prompt, or hold a part of its memory; the first one generates. */
  readonly targets: readonly string[];
  /** Whether each engine holds a part of the memory, under a reservation. */
  readonly isMemoryShared: boolean;
  /** Prefill time of the part of each engine. */
  readonly partPrefillMs: number;
  readonly startedAt: number;
  /** When the first event is due. */
  readonly dueAt: number;
  readonly isGenerating: boolean;
  readonly pauseTargetMs: number;
  /** What an answer in time is worth, in the unit of the placement. */
  readonly value: number;
  /** Memory that the request takes on its first engine, or on each when it is shared. */
  readonly memoryTokens: number;
  /** Context that slows the steps of the engines that hold it. */
  readonly contextTokens: number;
}

/** How long the work of a silent node counts. */
const NODE_TIMEOUT_MS = 2_500;

interface NodeRequests {
  readonly requests: Map<string, EngineWork>;
  lastUpdateAt: number;
}

/** The load as one node sees it. */
export class LoadBoard extends DisposableOwner {
  private readonly _nodes = new Map<string, NodeRequests>();
  private readonly _onChange = this.register(new Emitter<void>());
  /** Fires when work ends or changes. */
  public readonly onChange = this._onChange.event;

  constructor(
    private readonly _clock: Clock,
    /** Name of this node, whose work never times out. */
    private readonly _self: string,
  ) {
    super();
  }

  /** All work that counts now. */
  public get requests(): readonly EngineWork[] {
    const now = this._clock.now();
    const all: EngineWork[] = [];
    for (const [node, { lastUpdateAt, requests }] of this._nodes) {
      if (node === this._self || now - lastUpdateAt < NODE_TIMEOUT_MS) {
        all.push(...requests.values());
      }
    }
    return all;
  }

  /** The work of this node. */
  public get ownRequests(): readonly EngineWork[] {
    return [...this._requestsOf(this._self).requests.values()];
  }

  public set(node: string, work: EngineWork): void {
    const entry = this._requestsOf(node);
    entry.requests.set(work.id, work);
    entry.lastUpdateAt = this._clock.now();
    this._onChange.fire();
  }

  /** The first event of a request came; all its parts are read. */
  public markGenerating(node: string, id: string): void {
    const work = this._requestsOf(node).requests.get(id);
    if (work !== undefined) {
      this.set(node, toGenerating(work));
    }
  }

  public end(node: string, id: string): void {
    const entry = this._requestsOf(node);
    entry.lastUpdateAt = this._clock.now();
    if (entry.requests.delete(id)) {
      this._onChange.fire();
    }
  }

  /** Keeps only the named work of a node, which just said that it has no other. */
  public retain(node: string, ids: ReadonlySet<string>): void {
    const entry = this._requestsOf(node);
    entry.lastUpdateAt = this._clock.now();
    for (const id of entry.requests.keys()) {
      if (!ids.has(id)) {
        entry.requests.delete(id);
      }
    }
  }

  /** Forgets a node that left or died. */
  public forget(node: string): void {
    if (node !== this._self) {
      this._nodes.delete(node);
    }
  }

  private _requestsOf(node: string): NodeRequests {
    let entry = this._nodes.get(node);
    if (entry === undefined) {
      entry = { requests: new Map(), lastUpdateAt: this._clock.now() };
      this._nodes.set(node, entry);
    }
    return entry;
  }
}

/** The same work once its prompt is read. */
export function toGenerating(work: EngineWork): EngineWork {
  const targets = work.isMemoryShared ? work.targets : work.targets.slice(0, 1);
  return { ...work, isGenerating: true, targets };
}
