/**
 * The active requests from which the load of each engine is computed. Each node has exact records of
 * its own requests; a coordinator also has those of the nodes that place prompts in its cells. The
 * requests of a node that stops sending updates or leaves the mesh no longer count. All times are on
 * the clock of this node.
 */
import { type Clock, DisposableOwner, Emitter } from '@tanagerdyke/kernel';

/**
 * A request in flight on one or more engines. The first engine is the primary, which generates the
 * answer; the others are readers, which each prefill a part of the prompt for it.
 */
export interface ActiveRequest {
  /** Unique among the requests of its node. */
  readonly id: string;
  /** Engines that prefill a part of the prompt or hold a part of its memory; the primary first. */
  readonly targets: readonly string[];
  /** Whether each engine holds a part of the memory, under a reservation. */
  readonly isMemoryShared: boolean;
  /** Prefill time of the part of the prompt that each engine has. */
  readonly partPrefillMs: number;
  /** When it was placed on the engines. */
  readonly startedAt: number;
  /** When the first event of the answer is due. */
  readonly dueAt: number;
  /** When the answer is expected to be complete; undefined when it is not estimated. */
  readonly expectedEndAt?: number | undefined;
  /** Whether the prompt is prefilled and the primary generates the answer. */
  readonly isGenerating: boolean;
  /** Longest pause between two events that the route aims for. */
  readonly pauseTargetMs: number;
  /** Value of an answer in time, in the unit of `promptValue`. */
  readonly value: number;
  /** Memory that the request takes on its primary, or on each engine if the memory is shared. */
  readonly memoryTokens: number;
  /** Context that lengthens the token steps of the engines that hold it. */
  readonly contextTokens: number;
}

/** The requests of a node count for this long after its last update. */
const NODE_TIMEOUT_MS = 2_500;
/**
 * A request that a coordinator placed this recently is kept if the full state of its node lacks it,
 * since the node may have sent that state before it received the placement.
 */
const PLACEMENT_DELAY_MS = 500;

/** Identifies a request that began to generate. */
export interface GeneratingRequest {
  readonly node: string;
  readonly id: string;
}

/** Nodes are looked through this often for some that no longer send updates. */
const EXPIRY_INTERVAL_MS = 50;

interface NodeRequests {
  readonly name: string;
  readonly requests: Map<string, ActiveRequest>;
  lastUpdateAt: number;
  /** Whether its requests count on their engines. */
  isCounted: boolean;
}

/** A request that was set for the first time. */
export interface StartedRequest {
  readonly node: string;
  readonly request: ActiveRequest;
}

/** The requests on one engine. */
export interface TargetRequests {
  /** Grows with each change. */
  readonly version: number;
  readonly requests: ReadonlyMap<string, ActiveRequest>;
}

interface MutableTargetRequests {
  version: number;
  readonly requests: Map<string, ActiveRequest>;
}

const NONE: TargetRequests = { version: 0, requests: new Map() };

/** Holds the active requests of every node that this node has a record of. */
export class ActiveRequestTable extends DisposableOwner {
  private readonly _nodes = new Map<string, NodeRequests>();
  private readonly _byTarget = new Map<string, MutableTargetRequests>();
  private _versions = 0;
  private _expiredAt = Number.NEGATIVE_INFINITY;
  private readonly _onChange = this.register(new Emitter<void>());
  /**
   * Fires when one request is set or removed, not when `retain` or `removeNode` removes some or a
   * node times out.
   */
  public readonly onChange = this._onChange.event;
  private readonly _onGenerating = this.register(new Emitter<GeneratingRequest>());
  /** Fires when the first event of a request is reported. */
  public readonly onGenerating = this._onGenerating.event;

  private readonly _onStart = this.register(new Emitter<StartedRequest>());
  /** Fires with a request that was unknown. */
  public readonly onStart = this._onStart.event;

  constructor(
    private readonly _clock: Clock,
    /** Name of this node, whose requests never time out. */
    private readonly _self: string,
  ) {
    super();
  }

  /** The requests of all nodes whose updates have not timed out. */
  public get requests(): readonly ActiveRequest[] {
    const now = this._clock.now();
    const all: ActiveRequest[] = [];
    for (const [node, { lastUpdateAt, requests }] of this._nodes) {
      if (node === this._self || now - lastUpdateAt < NODE_TIMEOUT_MS) {
        all.push(...requests.values());
      }
    }
    return all;
  }

  /**
   * The requests on an engine. Those of a node without updates may count for `EXPIRY_INTERVAL_MS`
   * longer than in `requests`.
   */
  public requestsOn(target: string): TargetRequests {
    this._expireNodes();
    return this._byTarget.get(target) ?? NONE;
  }

  /** The requests of this node. */
  public get ownRequests(): readonly ActiveRequest[] {
    return [...this._entryOf(this._self).requests.values()];
  }

  /** Adds or replaces a request of a node. */
  public set(node: string, request: ActiveRequest): void {
    const entry = this._entryOf(node);
    const isNew = !entry.requests.has(request.id);
    this._recordUpdate(entry);
    this._uncount(entry, entry.requests.get(request.id));
    entry.requests.set(request.id, request);
    this._count(entry, request);
    if (isNew) {
      this._onStart.fire({ node, request });
    }
    this._onChange.fire();
  }

  /** Records that the first event of a request was received, so that its prompt is prefilled. */
  public markGenerating(node: string, id: string): void {
    const request = this._entryOf(node).requests.get(id);
    if (request !== undefined) {
      this.set(node, toGenerating(request));
      if (!request.isGenerating) {
        this._onGenerating.fire({ node, id });
      }
    }
  }

  /** Removes a request that ended. */
  public remove(node: string, id: string): void {
    const entry = this._entryOf(node);
    this._recordUpdate(entry);
    this._uncount(entry, entry.requests.get(id));
    if (entry.requests.delete(id)) {
      this._onChange.fire();
    }
  }

  /** Removes all requests of a node except those named, which its latest full state lists. */
  public retain(node: string, ids: ReadonlySet<string>): void {
    const entry = this._entryOf(node);
    const now = this._clock.now();
    this._recordUpdate(entry);
    for (const [id, request] of entry.requests) {
      if (!ids.has(id) && now - request.startedAt >= PLACEMENT_DELAY_MS) {
        this._uncount(entry, request);
        entry.requests.delete(id);
      }
    }
  }

  /** Removes a node that left or died, with all its requests. */
  public removeNode(node: string): void {
    const entry = this._nodes.get(node);
    if (node !== this._self && entry !== undefined) {
      this._uncountAll(entry);
      this._nodes.delete(node);
    }
  }

  /** Records an update of a node; the requests of one that had timed out count again. */
  private _recordUpdate(entry: NodeRequests): void {
    entry.lastUpdateAt = this._clock.now();
    if (!entry.isCounted) {
      entry.isCounted = true;
      for (const request of entry.requests.values()) {
        this._count(entry, request);
      }
    }
  }

  private _expireNodes(): void {
    const now = this._clock.now();
    if (now - this._expiredAt < EXPIRY_INTERVAL_MS) {
      return;
    }
    this._expiredAt = now;
    for (const entry of this._nodes.values()) {
      const isLive = entry.name === this._self || now - entry.lastUpdateAt < NODE_TIMEOUT_MS;
      if (entry.isCounted && !isLive) {
        this._uncountAll(entry);
        entry.isCounted = false;
      }
    }
  }

  private _count({ isCounted, name }: NodeRequests, request: ActiveRequest): void {
    if (!isCounted) {
      return;
    }
    for (const target of request.targets) {
      let on = this._byTarget.get(target);
      if (on === undefined) {
        on = { version: 0, requests: new Map() };
        this._byTarget.set(target, on);
      }
      on.version = ++this._versions;
      on.requests.set(`${name} ${request.id}`, request);
    }
  }

  private _uncount({ isCounted, name }: NodeRequests, request: ActiveRequest | undefined): void {
    if (!isCounted || request === undefined) {
      return;
    }
    for (const target of request.targets) {
      const on = this._byTarget.get(target);
      if (on?.requests.delete(`${name} ${request.id}`) === true) {
        on.version = ++this._versions;
        if (on.requests.size === 0) {
          this._byTarget.delete(target);
        }
      }
    }
  }

  private _uncountAll(entry: NodeRequests): void {
    for (const request of entry.requests.values()) {
      this._uncount(entry, request);
    }
  }

  private _entryOf(node: string): NodeRequests {
    let entry = this._nodes.get(node);
    if (entry === undefined) {
      const lastUpdateAt = this._clock.now();
      entry = { name: node, requests: new Map(), lastUpdateAt, isCounted: true };
      this._nodes.set(node, entry);
    }
    return entry;
  }
}

/**
 * The request once its prompt is prefilled. The readers are then free, unless they hold a part of
 * the memory.
 */
export function toGenerating(request: ActiveRequest): ActiveRequest {
  const targets = request.isMemoryShared ? request.targets : request.targets.slice(0, 1);
  return { ...request, isGenerating: true, targets };
}
