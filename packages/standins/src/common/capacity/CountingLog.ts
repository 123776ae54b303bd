/** Wraps the platform log of one node and counts its requests and payload bytes. */
import type { LogPage, PlatformLog } from '@tanagerdyke/contracts';
import type { ServiceError } from '@tanagerdyke/kernel';
import type { Result } from 'true-myth';

/** Requests and bytes that a node exchanged with the log. */
export interface LogUsage {
  appends: number;
  reads: number;
  /** Payload bytes appended and read, without protocol headers. */
  bytes: number;
}

/** Counts each request and forwards it to the wrapped log. */
export class CountingLog implements PlatformLog {
  public readonly usage: LogUsage = { appends: 0, reads: 0, bytes: 0 };
  /** Number of appends by the first path segment of the stream name. */
  public readonly appendsByArea = new Map<string, number>();

  constructor(private readonly _log: PlatformLog) {}

  public append(stream: string, payload: string): Promise<Result<number, ServiceError>> {
    this.usage.appends++;
    this.usage.bytes += Buffer.byteLength(payload);
    const [area = stream] = stream.split('/');
    this.appendsByArea.set(area, (this.appendsByArea.get(area) ?? 0) + 1);
    return this._log.append(stream, payload);
  }

  public async read(
    stream: string,
    fromOffset: number,
    limit: number,
    waitMs: number,
  ): Promise<Result<LogPage, ServiceError>> {
    this.usage.reads++;
    const page = await this._log.read(stream, fromOffset, limit, waitMs);
    if (page.isOk) {
      for (const { payload } of page.value.records) {
        this.usage.bytes += Buffer.byteLength(payload);
      }
    }
    return page;
  }
}
