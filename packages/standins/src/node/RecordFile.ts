/**
 * A file of JSON lines in which a stand-in records what it received or executed. The file outlives
 * the process, so that a run also counts what was done before a kill.
 */
import { appendFileSync, existsSync, readFileSync } from 'node:fs';
import type { Clock } from '@tanagerdyke/kernel';
import { type StandInRecord, standInRecordSchema } from '../common/prove/Evidence.js';

type RecordContent<T> = T extends unknown ? Omit<T, 'target' | 'at'> : never;

/** Appends the records of one stand-in to a file; without a file name it writes none. */
export class RecordFile {
  constructor(
    private readonly _clock: Clock,
    private readonly _target: string,
    private readonly _file: string | undefined,
  ) {}

  /** Appends a record with the name of the stand-in and the wall time. */
  public write(record: RecordContent<StandInRecord>): void {
    if (this._file !== undefined) {
      const line = { ...record, target: this._target, at: this._clock.wallTime() };
      // Synchronous, so that the record is in the file before the request can be answered.
      appendFileSync(this._file, `${JSON.stringify(line)}\n`);
    }
  }
}

/** Reads all complete records; a last line that a kill cut short is left out. */
export function readRecords(file: string): readonly StandInRecord[] {
  if (!existsSync(file)) {
    return [];
  }
  const lines = readFileSync(file, 'utf8').split('\n');
  return lines.slice(0, -1).map((line) => standInRecordSchema.parse(JSON.parse(line)));
}
