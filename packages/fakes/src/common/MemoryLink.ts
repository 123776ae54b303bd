/**
 * The link of a node in an in-memory network, with a bandwidth in each direction. Transfers that
 * share a link take turns, segment by segment, and a transfer waits for its receiver when a window
 * of segments is under way.
 */
import type { Clock } from '@tanagerdyke/kernel';

/** Bytes of a transfer that arrive together. */
export const SEGMENT_BYTES = 8_192;
/** Segments of a transfer that may be under way. */
const WINDOW_SEGMENTS = 8;

/** One direction of a link. */
class LinkDirection {
  private _freeAt = 0;

  constructor(private readonly _link: MemoryLink) {}

  /** Occupies the direction from `earliestAt` on, behind what is queued; returns the end. */
  public occupy(bytes: number, earliestAt: number): number {
    this._freeAt = Math.max(this._freeAt, earliestAt) + bytes / this._link.bytesPerMs;
    return this._freeAt;
  }

  public backlogBytes(now: number): number {
    const backlogMs = Math.max(0, this._freeAt - now);
    return backlogMs === 0 ? 0 : backlogMs * this._link.bytesPerMs;
  }
}

/** Both directions of a link, and the bytes that it has received. */
export class MemoryLink {
  public receivedBytes = 0;
  public readonly up = new LinkDirection(this);
  public readonly down = new LinkDirection(this);

  constructor(
    private readonly _clock: Clock,
    public readonly bytesPerMs = Number.POSITIVE_INFINITY,
  ) {}

  /** Bytes that wait to be sent. */
  public get queuedBytes(): number {
    return this.up.backlogBytes(this._clock.now());
  }

  /** Sends bytes to another link; resolves when the last one has arrived. */
  public async send(
    to: MemoryLink,
    bytes: number,
    delayMs: number,
    onProgress: () => void = () => undefined,
  ): Promise<void> {
    const clock = this._clock;
    const arrivals: Promise<void>[] = [];
    for (let sent = 0; sent < bytes; sent += SEGMENT_BYTES) {
      const segment = Math.min(SEGMENT_BYTES, bytes - sent);
      await arrivals.at(-WINDOW_SEGMENTS);
      await clock.sleep(this.up.occupy(segment, clock.now()) - clock.now());
      const arrivesAt = to.down.occupy(segment, clock.now() + delayMs);
      arrivals.push(
        clock.sleep(arrivesAt - clock.now()).then(() => {
          to.receivedBytes += segment;
          onProgress();
        }),
      );
    }
    await Promise.all(arrivals);
  }
}
