import { ErrorKind, ManualClock, Metrics, SeededRandom, ServiceError } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import { beforeEach, describe, expect, it } from 'vitest';
import { DecisionLog } from '../DecisionLog.js';
import type { KeyedPage, KeyedRecord, KeyedSnapshot, KeyedTopic } from '../services/Services.js';
import { KeyedFollower } from './KeyedFollower.js';
import { KeyedTable } from './KeyedTable.js';

/** How the stand-in of the store behaves. */
enum Mode {
  Answers = 'answers',
  Refuses = 'refuses',
  Silent = 'silent',
}

/** A keyed topic with offsets, retention, outages and silence. */
class TopicStandIn implements KeyedTopic {
  public readonly name = 'topic';
  public mode = Mode.Answers;
  public calls = 0;
  private readonly _log: KeyedRecord[] = [];
  private _first = 0;

  constructor(private readonly _clock: ManualClock) {}

  public write(key: string, value: string | undefined): void {
    const bytes = value === undefined ? undefined : Buffer.from(value);
    this._log.push({ key, offset: this._log.length, value: bytes });
  }

  public expireAll(): void {
    this._first = this._log.length;
  }

  public async newest(timeoutMs: number): Promise<Result<KeyedSnapshot, ServiceError>> {
    const failure = await this._fail(timeoutMs);
    if (failure !== undefined) {
      return Result.err(failure);
    }
    const newest = new Map(this._log.map((each) => [each.key, each]));
    const records = [...newest.values()].filter(({ value }) => value !== undefined);
    return Result.ok({ records, end: this._log.length });
  }

  public async read(
    from: number,
    waitMs: number,
    timeoutMs: number,
  ): Promise<Result<KeyedPage, ServiceError>> {
    const failure = await this._fail(timeoutMs);
    if (failure !== undefined) {
      return Result.err(failure);
    }
    if (from < this._first) {
      return Result.err(errorOf(ErrorKind.RecordsExpired));
    }
    for (let waited = 0; waited < waitMs && this._log.length <= from; waited += 10) {
      await this._clock.sleep(10);
    }
    return Result.ok({ records: this._log.slice(from), end: this._log.length });
  }

  private async _fail(timeoutMs: number): Promise<ServiceError | undefined> {
    this.calls++;
    await this._clock.sleep(this.mode === Mode.Silent ? timeoutMs : 4);
    return this.mode === Mode.Answers ? undefined : errorOf(ErrorKind.PlatformUnavailable);
  }
}

function errorOf(kind: ErrorKind): ServiceError {
  return new ServiceError(kind, 'scripted', { remedy: 'none' });
}

describe('KeyedFollower', () => {
  let clock: ManualClock;
  let topic: TopicStandIn;
  let table: KeyedTable;
  let lines: string[];
  let isPolling: boolean;

  beforeEach(() => {
    clock = new ManualClock();
    topic = new TopicStandIn(clock);
    table = new KeyedTable('topic');
    lines = [];
    isPolling = true;
  });

  function start(): void {
    const log = new DecisionLog(clock, 'n', (line) => lines.push(line) > 0);
    new KeyedFollower({
      clock,
      random: new SeededRandom(1),
      topic,
      table,
      log,
      metrics: new Metrics(),
      isPolling: () => isPolling,
    }).start();
  }

  it('takes the state at the start and follows changes within a poll', async () => {
    topic.write('a', '1');
    start();
    await clock.advance(50);
    expect(table.find('a')?.value?.toString()).toBe('1');
    topic.write('a', '2');
    await clock.advance(50);
    expect(table.find('a')?.value?.toString()).toBe('2');
  });

  it('reads the whole state again when records expired unread', async () => {
    start();
    await clock.advance(50);
    topic.mode = Mode.Refuses;
    await clock.advance(5_000);
    topic.write('a', '1');
    topic.write('b', '2');
    topic.expireAll();
    topic.mode = Mode.Answers;
    await clock.advance(2_000);
    expect(table.records).toHaveLength(2);
  });

  describe('a node that leaves polling to others', () => {
    it('takes the state at the start and makes no more calls', async () => {
      isPolling = false;
      topic.write('a', '1');
      start();
      await clock.advance(10_000);
      expect(table.find('a')?.value?.toString()).toBe('1');
      expect(topic.calls).toBe(1);
    });
  });

  describe('an outage', () => {
    it('is told once, and its end too', async () => {
      topic.mode = Mode.Refuses;
      start();
      await clock.advance(5_000);
      topic.mode = Mode.Answers;
      await clock.advance(2_000);
      const events = lines.map((line) => (JSON.parse(line) as { event: string }).event);
      expect(events).toEqual(['platform.lost', 'platform.regained']);
    });

    it('is not answered with a storm of calls', async () => {
      topic.mode = Mode.Refuses;
      start();
      await clock.advance(10_000);
      expect(topic.calls).toBeLessThan(40);
    });
  });

  describe('a store that does not answer at all', () => {
    it('delays a start by no more than its own time limit', async () => {
      topic.write('a', '1');
      topic.mode = Mode.Silent;
      start();
      await clock.advance(1_000);
      topic.mode = Mode.Answers;
      await clock.advance(1_700);
      expect(table.isKnown).toBe(true);
    });
  });
});
