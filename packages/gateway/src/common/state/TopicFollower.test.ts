import { ErrorKind, ManualClock, Metrics, SeededRandom, ServiceError } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import { beforeEach, describe, expect, it } from 'vitest';
import { DecisionLog } from '../DecisionLog.js';
import type { KeyedPage, KeyedRecord, KeyedSnapshot, KeyedTopic } from '../services/Services.js';
import { KeyedTable } from './KeyedTable.js';
import { TopicFollower } from './TopicFollower.js';

/** Time that the fake topic takes to answer. */
const CALL_MS = 4;

/** How the fake topic responds to calls. */
enum Mode {
  Responds = 'responds',
  Fails = 'fails',
  TimesOut = 'times-out',
  /** Only reads are answered. */
  LosesSnapshots = 'loses-snapshots',
}

/** A keyed topic with offsets, retention, failing calls and calls that time out. */
class FakeTopic implements KeyedTopic {
  public readonly name = 'topic';
  public mode = Mode.Responds;
  public calls = 0;
  /** When each snapshot was asked for. */
  public readonly snapshotTimes: number[] = [];
  /** Records in a page. */
  public pageLength = Number.POSITIVE_INFINITY;
  public recordsRead = 0;
  private readonly _log: KeyedRecord[] = [];
  private _first = 0;
  private _polls = 0;
  /** Polls up to this one are never answered. */
  private _silentPolls = 0;

  constructor(private readonly _clock: ManualClock) {}

  public write(key: string, value: string | undefined): void {
    const bytes = value === undefined ? undefined : Buffer.from(value);
    this._log.push({ key, offset: this._log.length, value: bytes });
  }

  /** The poll that is open gets no answer. */
  public silencePoll(): void {
    this._silentPolls = this._polls;
  }

  public expireAll(): void {
    this._first = this._log.length;
  }

  public async readSnapshot(timeoutMs: number): Promise<Result<KeyedSnapshot, ServiceError>> {
    this.snapshotTimes.push(this._clock.now());
    if (this.mode === Mode.LosesSnapshots) {
      await this._clock.sleep(timeoutMs);
      return Result.err(errorOf(ErrorKind.PlatformUnavailable));
    }
    const failure = await this._simulateCall(timeoutMs);
    if (failure !== undefined) {
      return Result.err(failure);
    }
    const newest = new Map(this._log.map((each) => [each.key, each]));
    const records = [...newest.values()].filter(({ value }) => value !== undefined);
    return Result.ok({ epoch: undefined, records, end: this._log.length });
  }

  public async read(
    from: number,
    waitMs: number,
    timeoutMs: number,
  ): Promise<Result<KeyedPage, ServiceError>> {
    const failure = await this._simulateCall(timeoutMs);
    if (failure !== undefined) {
      return Result.err(failure);
    }
    if (from < this._first) {
      return Result.err(errorOf(ErrorKind.RecordsExpired));
    }
    this._polls++;
    const poll = this._polls;
    const startedAt = this._clock.now();
    for (let waited = 0; waited < waitMs && this._log.length <= from; waited += 10) {
      await this._clock.sleep(10);
    }
    if (poll <= this._silentPolls) {
      await this._clock.sleep(startedAt + timeoutMs - this._clock.now());
      return Result.err(errorOf(ErrorKind.PlatformUnavailable));
    }
    const records = this._log.slice(from, from + this.pageLength);
    this.recordsRead += records.length;
    const end = from + records.length;
    return Result.ok({ epoch: undefined, records, end, logEnd: this._log.length });
  }

  private async _simulateCall(timeoutMs: number): Promise<ServiceError | undefined> {
    this.calls++;
    await this._clock.sleep(this.mode === Mode.TimesOut ? timeoutMs : CALL_MS);
    const isAnswered = this.mode === Mode.Responds || this.mode === Mode.LosesSnapshots;
    return isAnswered ? undefined : errorOf(ErrorKind.PlatformUnavailable);
  }
}

function errorOf(kind: ErrorKind): ServiceError {
  return new ServiceError(kind, 'scripted', { remedy: 'none' });
}

describe('TopicFollower', () => {
  let clock: ManualClock;
  let topic: FakeTopic;
  let table: KeyedTable;
  let lines: string[];
  let shouldPoll: boolean;

  beforeEach(() => {
    clock = new ManualClock();
    topic = new FakeTopic(clock);
    table = new KeyedTable('topic');
    lines = [];
    shouldPoll = true;
  });

  function start(): void {
    const log = new DecisionLog(clock, 'n', (line) => lines.push(line) > 0);
    new TopicFollower({
      clock,
      random: new SeededRandom(1),
      topic,
      table,
      log,
      metrics: new Metrics(),
      shouldPoll: () => shouldPoll,
      isAppointedPoller: () => shouldPoll,
    }).start();
  }

  it('loads a snapshot at the start, then receives changes by polling', async () => {
    topic.write('a', '1');
    start();
    await clock.advance(50);
    expect(table.find('a')?.value?.toString()).toBe('1');
    topic.write('a', '2');
    await clock.advance(50);
    expect(table.find('a')?.value?.toString()).toBe('2');
  });

  it('loads a new snapshot when records expired before they were read', async () => {
    start();
    await clock.advance(50);
    topic.mode = Mode.Fails;
    await clock.advance(5_000);
    topic.write('a', '1');
    topic.write('b', '2');
    topic.expireAll();
    topic.mode = Mode.Responds;
    await clock.advance(2_000);
    expect(table.records).toHaveLength(2);
  });

  describe('when the records that follow a page are longer than the newest of each key', () => {
    const VERSIONS = 20;

    beforeEach(async () => {
      topic.write('other', 'short');
      topic.write('a', '0');
      start();
      await clock.advance(50);
      topic.pageLength = 1;
      for (let version = 1; version <= VERSIONS; version++) {
        topic.write('a', String(version).repeat(1_000));
      }
      await clock.advance(100);
    });

    it('reads the newest of each key, not each record', () => {
      expect(table.find('a')?.value?.toString()).toBe(String(VERSIONS).repeat(1_000));
      expect(topic.recordsRead).toBeLessThan(VERSIONS / 4);
    });

    it('goes on with the records after them', async () => {
      topic.write('a', 'next');
      await clock.advance(100);
      expect(table.find('a')?.value?.toString()).toBe('next');
      expect(table.find('other')?.value?.toString()).toBe('short');
    });
  });

  describe('when the node should not poll', () => {
    it('loads a snapshot at the start and makes no further calls', async () => {
      shouldPoll = false;
      topic.write('a', '1');
      start();
      await clock.advance(10_000);
      expect(table.find('a')?.value?.toString()).toBe('1');
      expect(topic.calls).toBe(1);
    });
  });

  describe('during an outage', () => {
    it('logs the start and the end of the outage once each', async () => {
      topic.mode = Mode.Fails;
      start();
      await clock.advance(5_000);
      topic.mode = Mode.Responds;
      await clock.advance(2_000);
      const events = lines.map((line) => (JSON.parse(line) as { event: string }).event);
      expect(events).toEqual(['platform.lost', 'platform.regained']);
    });

    it('backs off, with fewer than 40 calls in 10 s', async () => {
      topic.mode = Mode.Fails;
      start();
      await clock.advance(10_000);
      expect(topic.calls).toBeLessThan(40);
    });
  });

  describe('when the connection of a poll went silent', () => {
    /** Connections count as disturbed for 3 s; half a second of it is for the other nodes. */
    const MAX_DELAY_MS = 2_500;

    it('replaces it within 2,500 ms', async () => {
      start();
      await clock.advance(50);
      topic.silencePoll();
      topic.write('a', '1');
      await clock.advance(MAX_DELAY_MS);
      expect(table.find('a')?.value?.toString()).toBe('1');
    });
  });

  describe('when the platform does not respond', () => {
    it('asks for no further snapshot', async () => {
      topic.mode = Mode.TimesOut;
      start();
      await clock.advance(20_000);
      expect(topic.snapshotTimes).toHaveLength(1);
    });

    it('calls it at least every 800 ms if the node polls', async () => {
      topic.mode = Mode.TimesOut;
      start();
      await clock.advance(20_000);
      expect(topic.calls).toBeGreaterThanOrEqual(25);
      expect(topic.calls).toBeLessThan(40);
    });

    it('delays the start by no more than the timeout of a call', async () => {
      topic.write('a', '1');
      topic.mode = Mode.TimesOut;
      start();
      await clock.advance(1_000);
      topic.mode = Mode.Responds;
      await clock.advance(1_700);
      expect(table.hasSnapshot).toBe(true);
    });
  });

  describe('when only the answers to snapshots are late', () => {
    it('waits longer for each, up to a limit', async () => {
      topic.mode = Mode.LosesSnapshots;
      start();
      await clock.advance(20_000);
      const waits = topic.snapshotTimes.slice(1).map((at, index) => {
        return at - (topic.snapshotTimes[index] ?? at);
      });
      // A short read is answered before each.
      expect(waits.slice(0, 5).map((each) => each - CALL_MS)).toEqual([
        800, 1_600, 3_200, 3_200, 3_200,
      ]);
    });
  });
});
