/**
 * Spreads the work of this node to all others in datagrams, at once for changes and every second as
 * a whole, which makes good for lost datagrams.
 */
import { chunksOf, type Clock, DisposableOwner } from '@tanagerdyke/kernel';
import { encodeNotification, notificationParser, type ZoneBroadcast } from '@tanagerdyke/mesh';
import type { EngineWork, LoadBoard } from './LoadBoard.js';
import { decodeRequest, encodeRequest, parseLoadUpdate, type WireLoadUpdate } from './LoadCodec.js';

const LOAD_METHOD = 'load';
/** Changes within this time travel together. */
const COALESCE_MS = 3;
const FULL_STATE_INTERVAL_MS = 1_000;
/** Younger work was told a moment ago, and most of it is over before the next whole state. */
const MIN_REPEAT_AGE_MS = 500;
/** Keeps a datagram within one packet. */
const REQUESTS_PER_DATAGRAM = 8;

const parseLoad = notificationParser(LOAD_METHOD, parseLoadUpdate);

/** What the news needs. */
export interface LoadNewsOptions {
  readonly clock: Clock;
  readonly broadcast: ZoneBroadcast;
  /** Name of this node. */
  readonly node: string;
  readonly board: LoadBoard;
}

/** The news of one node. */
export class LoadNews extends DisposableOwner {
  private readonly _changed = new Map<string, EngineWork>();
  private readonly _began = new Set<string>();
  private readonly _ended = new Set<string>();
  private _isScheduled = false;

  constructor(private readonly _options: LoadNewsOptions) {
    super();
    this.register(
      _options.broadcast.onMessage((payload) => {
        this._receive(payload);
      }),
    );
  }

  /** Time until all nodes know of a change, without losses. */
  public get delayMs(): number {
    return COALESCE_MS + this._options.broadcast.delayMs;
  }

  public start(): void {
    void this._run();
  }

  /** Records work of this node that started or changed, and tells the others. */
  public publish(work: EngineWork): void {
    this._options.board.set(this._self, work);
    this._changed.set(work.id, work);
    this._schedule();
  }

  /** Records that work of this node began to generate, and tells the others. */
  public begin(work: EngineWork): void {
    this._options.board.set(this._self, work);
    if (this._changed.has(work.id)) {
      this._changed.set(work.id, work);
    } else {
      this._began.add(work.id);
    }
    this._schedule();
  }

  /** Records that work of this node ended, and tells the others. */
  public withdraw(id: string): void {
    this._options.board.end(this._self, id);
    this._changed.delete(id);
    this._began.delete(id);
    this._ended.add(id);
    this._schedule();
  }

  private get _self(): string {
    return this._options.node;
  }

  private async _run(): Promise<void> {
    const { board, clock } = this._options;
    const { disposal: signal } = this;
    while (!signal.aborted) {
      await clock.sleep(FULL_STATE_INTERVAL_MS, signal);
      const { ownRequests } = board;
      this._send({ node: this._self, all: ownRequests.map(({ id }) => id) });
      const now = clock.now();
      this._sendRequests(
        ownRequests.filter(({ startedAt }) => now - startedAt >= MIN_REPEAT_AGE_MS),
      );
    }
  }

  private _schedule(): void {
    if (this._isScheduled) {
      return;
    }
    this._isScheduled = true;
    const timer = this.register(
      this._options.clock.schedule(COALESCE_MS, () => {
        this.unregister(timer);
        this._isScheduled = false;
        this._flush();
      }),
    );
  }

  private _flush(): void {
    const works = [...this._changed.values()];
    const began = [...this._began];
    const ended = [...this._ended];
    this._changed.clear();
    this._began.clear();
    this._ended.clear();
    this._sendRequests(works, {
      ...(began.length > 0 && { began }),
      ...(ended.length > 0 && { ended }),
    });
  }

  /** Sends work in as few datagrams as take it; what else there is rides on the first. */
  private _sendRequests(
    works: readonly EngineWork[],
    rest: Pick<WireLoadUpdate, 'began' | 'ended'> = {},
  ): void {
    const now = this._options.clock.now();
    const [first = [], ...others] = chunksOf(
      works.map((work) => encodeRequest(work, now)),
      REQUESTS_PER_DATAGRAM,
    );
    const head = { ...(first.length > 0 && { works: first }), ...rest };
    if (Object.keys(head).length > 0) {
      this._send({ node: this._self, ...head });
    }
    for (const chunk of others) {
      this._send({ node: this._self, works: chunk });
    }
  }

  private _send(params: WireLoadUpdate): void {
    this._options.broadcast.send(encodeNotification(LOAD_METHOD, params));
  }

  private _receive(payload: string): void {
    const params = parseLoad(payload);
    if (params === undefined || params.node === this._self) {
      return;
    }
    const { board, clock } = this._options;
    const now = clock.now();
    for (const work of params.works ?? []) {
      board.set(params.node, decodeRequest(work, now));
    }
    for (const id of params.began ?? []) {
      board.markGenerating(params.node, id);
    }
    for (const id of params.ended ?? []) {
      board.end(params.node, id);
    }
    if (params.all !== undefined) {
      board.retain(params.node, new Set(params.all));
    }
  }
}
