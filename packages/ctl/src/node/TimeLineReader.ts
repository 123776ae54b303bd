/**
 * Reads the time lines of all live nodes and merges them by time, corrected for clock skew. A node
 * that restarts begins its sequence again; the reader detects this by a next sequence number below
 * its cursor, and reads that time line from the start.
 */
import type { Clock, ServiceError, TimeLineEvent } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import { ClockSkew } from './ClockSkew.js';
import type { OperatorClient, TimeLinePage } from './OperatorClient.js';

const PAGE_EVENTS = 20_000;

/** New events of all nodes, and the nodes whose events are missing because they didn't answer. */
export interface MergedEvents {
  readonly events: readonly TimeLineEvent[];
  readonly unreachable: readonly string[];
}

/** The read position in the time line of one node, and the skew of its clock. */
interface Cursor {
  next: number;
  readonly skew: ClockSkew;
}

/** Reads the time lines of all nodes, which it finds through the status of one of them. */
export class TimeLineReader {
  private readonly _cursors = new Map<string, Cursor>();

  constructor(
    private readonly _clock: Clock,
    private readonly _seed: OperatorClient,
    private readonly _connect: (address: string) => OperatorClient,
  ) {}

  /** Returns the events since the last read, in order of corrected time. */
  public async read(): Promise<Result<MergedEvents, ServiceError>> {
    const status = await this._seed.status();
    if (status.isErr) {
      return Result.err(status.error);
    }
    const unreachable: string[] = [];
    const pages = await Promise.all(
      status.value.members.map(async ({ callerAddress, name }) => {
        const events = await this._readNode(callerAddress);
        if (events === undefined) {
          unreachable.push(name);
        }
        return events ?? [];
      }),
    );
    return Result.ok({ events: mergeEvents(pages), unreachable });
  }

  private async _readNode(address: string): Promise<readonly TimeLineEvent[] | undefined> {
    const cursor = this._cursors.get(address) ?? { next: 0, skew: new ClockSkew() };
    this._cursors.set(address, cursor);
    const sentAt = this._clock.wallTime();
    const page = await this._connect(address).timeLine(cursor.next, PAGE_EVENTS);
    if (page.isErr) {
      return undefined;
    }
    const receivedAt = this._clock.wallTime();
    cursor.skew.observe({ sentAt, receivedAt, nodeAt: page.value.wallTime });
    if (page.value.next < cursor.next) {
      cursor.next = 0;
      return this._readNode(address);
    }
    cursor.next = page.value.next;
    return correctForSkew(page.value, cursor.skew);
  }
}

function correctForSkew(page: TimeLinePage, skew: ClockSkew): readonly TimeLineEvent[] {
  return page.events.map((event) => ({ ...event, at: event.at - skew.aheadMs }));
}

/** Merges time lines into one, in order of time; events of one node keep their order. */
export function mergeEvents(
  pages: readonly (readonly TimeLineEvent[])[],
): readonly TimeLineEvent[] {
  return pages
    .flatMap(withMonotonicTimes)
    .sort((a, b) => a.monotonicAt - b.monotonicAt)
    .map(({ event }) => event);
}

interface MonotonicEvent {
  readonly event: TimeLineEvent;
  /** Latest time of the node up to this event, which never decreases when its clock steps back. */
  readonly monotonicAt: number;
}

function withMonotonicTimes(events: readonly TimeLineEvent[]): readonly MonotonicEvent[] {
  let monotonicAt = Number.NEGATIVE_INFINITY;
  return events.map((event) => {
    monotonicAt = Math.max(monotonicAt, event.at);
    return { event, monotonicAt };
  });
}
