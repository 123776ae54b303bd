/**
 * Reports the active requests of this node to the coordinators of their cells in datagrams, and
 * applies the reports of other nodes. Changes are sent immediately, the full state every second to
 * recover from lost datagrams.
 */
import {
  chunksOf,
  type Clock,
  DisposableOwner,
  type Event,
  keepRunning,
} from '@tanagerdyke/kernel';
import { encodeNotification, notificationParser } from '@tanagerdyke/mesh';
import type { ActiveRequest, ActiveRequestTable } from './ActiveRequestTable.js';
import {
  decodeRequests,
  encodeRequests,
  parseLoadUpdate,
  type WireLoadUpdate,
} from './LoadCodec.js';

const LOAD_METHOD = 'load';
/** Changes within this time are sent together. */
const COALESCE_MS = 3;
const FULL_STATE_INTERVAL_MS = 1_000;
/**
 * Requests younger than this are not repeated with the full state: they were sent a moment ago, and
 * most of them end before the next one.
 */
const MIN_REPEAT_AGE_MS = 500;
/** Small enough for a datagram to fit into one packet. */
const REQUESTS_PER_DATAGRAM = 8;

const parseUpdate = notificationParser(LOAD_METHOD, parseLoadUpdate);

/** Carries load updates to the nodes that need them. Delivery is not guaranteed. */
export interface LoadChannel {
  send(payload: string): void;
  readonly onMessage: Event<string>;
}

/** Dependencies of the load reporter. */
export interface LoadReporterOptions {
  readonly clock: Clock;
  readonly channel: LoadChannel;
  /** Name of this node. */
  readonly node: string;
  readonly activeRequests: ActiveRequestTable;
}

/** Sends the load updates of this node and receives those of the others. */
export class LoadReporter extends DisposableOwner {
  private readonly _changed = new Map<string, ActiveRequest>();
  private readonly _generating = new Set<string>();
  private readonly _ended = new Set<string>();
  private _isFlushScheduled = false;

  constructor(private readonly _options: LoadReporterOptions) {
    super();
    this.register(
      _options.channel.onMessage((payload) => {
        this._receive(payload);
      }),
    );
  }

  /** Starts to send the full state periodically. */
  public start(): void {
    keepRunning(this._options.clock, this.disposalSignal, 'load.reports', () =>
      this._sendFullStates(),
    );
  }

  /** Records a request of this node that started or changed, and reports it. */
  public publish(request: ActiveRequest): void {
    this._options.activeRequests.set(this._self, request);
    this._changed.set(request.id, request);
    this._scheduleFlush();
  }

  /** Records that a request of this node began to generate, and reports it. */
  public markGenerating(request: ActiveRequest): void {
    this._options.activeRequests.markGenerating(this._self, request.id);
    if (this._changed.has(request.id)) {
      this._changed.set(request.id, request);
    } else {
      this._generating.add(request.id);
    }
    this._scheduleFlush();
  }

  /** Records that a request of this node ended, and reports it. */
  public remove(id: string): void {
    this._options.activeRequests.remove(this._self, id);
    this._changed.delete(id);
    this._generating.delete(id);
    this._ended.add(id);
    this._scheduleFlush();
  }

  private get _self(): string {
    return this._options.node;
  }

  private async _sendFullStates(): Promise<void> {
    const { activeRequests: table, clock } = this._options;
    const { disposalSignal: signal } = this;
    let isLastEmpty = false;
    while (!signal.aborted) {
      await clock.sleep(FULL_STATE_INTERVAL_MS, signal);
      const { ownRequests } = table;
      if (isLastEmpty && ownRequests.length === 0) {
        continue;
      }
      isLastEmpty = ownRequests.length === 0;
      this._send({ node: this._self, all: ownRequests.map(({ id }) => id) });
      const now = clock.now();
      this._sendRequests(
        ownRequests.filter(({ startedAt }) => now - startedAt >= MIN_REPEAT_AGE_MS),
      );
    }
  }

  private _scheduleFlush(): void {
    if (this._isFlushScheduled) {
      return;
    }
    this._isFlushScheduled = true;
    const timer = this.register(
      this._options.clock.schedule(COALESCE_MS, () => {
        this.unregister(timer);
        this._isFlushScheduled = false;
        this._flush();
      }),
    );
  }

  private _flush(): void {
    const changed = [...this._changed.values()];
    const began = [...this._generating];
    const ended = [...this._ended];
    this._changed.clear();
    this._generating.clear();
    this._ended.clear();
    this._sendRequests(changed, {
      ...(began.length > 0 && { began }),
      ...(ended.length > 0 && { ended }),
    });
  }

  /** Sends requests in as few datagrams as can hold them; the first also carries `rest`. */
  private _sendRequests(
    requests: readonly ActiveRequest[],
    rest: Pick<WireLoadUpdate, 'began' | 'ended'> = {},
  ): void {
    const now = this._options.clock.now();
    const [first = [], ...others] = chunksOf(requests, REQUESTS_PER_DATAGRAM);
    const firstUpdate = { ...(first.length > 0 && encodeRequests(first, now)), ...rest };
    if (Object.keys(firstUpdate).length > 0) {
      this._send({ node: this._self, ...firstUpdate });
    }
    for (const chunk of others) {
      this._send({ node: this._self, ...encodeRequests(chunk, now) });
    }
  }

  private _send(update: WireLoadUpdate): void {
    this._options.channel.send(encodeNotification(LOAD_METHOD, update));
  }

  private _receive(payload: string): void {
    const update = parseUpdate(payload);
    if (update === undefined || update.node === this._self) {
      return;
    }
    const { activeRequests: table, clock } = this._options;
    const now = clock.now();
    for (const request of decodeRequests(update, now)) {
      table.set(update.node, request);
    }
    for (const id of update.began ?? []) {
      table.markGenerating(update.node, id);
    }
    for (const id of update.ended ?? []) {
      table.remove(update.node, id);
    }
    if (update.all !== undefined) {
      table.retain(update.node, new Set(update.all));
    }
  }
}
