import { ErrorKind, ManualClock, Metrics, SeededRandom, ServiceError } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';
import { beforeEach, describe, expect, it } from 'vitest';
import { DecisionLog } from '../DecisionLog.js';
import type { TargetEntry } from '../Messages.js';
import type {
  EngineReservation,
  EngineReservations,
  ReservationUse,
} from '../services/Services.js';
import { ForwardingFixture } from '../../node/ForwardingFixture.js';
import { PromptReservations, type ReservationOptions } from './PromptReservations.js';
import { ReservationFailures } from './ReservationFailures.js';
import { TargetPauses } from './TargetPauses.js';

/** What happens to calls to the engines. */
enum CallOutcome {
  Answered = 'answered',
  /** No call is answered, and each takes effect seconds later. */
  Late = 'late',
  /** No call is answered or takes effect. */
  Lost = 'lost',
}

const LATE_MS = 5_000;
const CAPACITY_TOKENS = 1_000;
/** Later than the calls take. */
const DEADLINE_AT = 100_000;

/** Emulates engines that hold reservations until they are released or expire. */
class EnginesStandIn implements EngineReservations {
  public callOutcome = CallOutcome.Answered;
  public calls = 0;
  /** Expiry of each reservation by `target/id`. */
  private readonly _held = new Map<string, number>();

  constructor(private readonly _clock: ManualClock) {}

  public get held(): number {
    return [...this._held.values()].filter((until) => until > this._clock.now()).length;
  }

  public reserve(
    { id: target }: TargetEntry,
    { id, timeToLiveMs, tokens }: EngineReservation,
    timeoutMs: number,
  ): Promise<Result<void, ServiceError>> {
    if (tokens > CAPACITY_TOKENS && target === 'small') {
      return Promise.resolve(Result.err(errorOf(ErrorKind.Overloaded)));
    }
    return this._call(timeoutMs, () => {
      this._held.set(`${target}/${id}`, this._clock.now() + timeToLiveMs);
    });
  }

  public release(
    { id: target }: TargetEntry,
    id: string,
    timeoutMs: number,
  ): Promise<Result<void, ServiceError>> {
    return this._call(timeoutMs, () => {
      this._held.delete(`${target}/${id}`);
    });
  }

  public inspect(): Promise<Result<ReservationUse, ServiceError>> {
    return Promise.resolve(Result.err(errorOf(ErrorKind.TargetFailed)));
  }

  private async _call(timeoutMs: number, effect: () => void): Promise<Result<void, ServiceError>> {
    this.calls++;
    if (this.callOutcome === CallOutcome.Answered) {
      effect();
      return Result.ok(undefined);
    }
    if (this.callOutcome === CallOutcome.Late) {
      this._clock.schedule(LATE_MS, effect);
    }
    await this._clock.sleep(timeoutMs);
    return Result.err(errorOf(ErrorKind.TargetFailed));
  }
}

function errorOf(kind: ErrorKind): ServiceError {
  return new ServiceError(kind, 'scripted', { remedy: 'none' });
}

function idsOf(targets: readonly TargetEntry[]): readonly string[] {
  return targets.map(({ id }) => id);
}

function targetOf(id: string): TargetEntry {
  return {
    id,
    service: 'm',
    address: `${id}:80`,
    availabilityZone: 'a',
    slots: 4,
    isDraining: false,
    startedAt: undefined,
    coldMs: 0,
  };
}

describe('PromptReservations', () => {
  let clock: ManualClock;
  let engines: EnginesStandIn;
  let leaving: Set<string>;
  let pauses: TargetPauses;
  let reservationFailures: ReservationFailures;
  let common: Omit<ReservationOptions, 'targets'>;
  const log = new DecisionLog(new ManualClock(), 'n', () => true);
  const targets = { acceptsRequests: (id: string): boolean => !leaving.has(id) };

  beforeEach(() => {
    clock = new ManualClock();
    engines = new EnginesStandIn(clock);
    leaving = new Set();
    pauses = new TargetPauses({
      ...{ clock, log },
      random: new SeededRandom(1),
      metrics: new Metrics(),
    });
    reservationFailures = new ReservationFailures(clock);
    common = { clock, log, pauses, engineReservations: engines, reservationFailures };
  });

  function create(tokens: number, ids = ['a', 'b', 'c']): PromptReservations {
    const services = { ...common, targets };
    return new PromptReservations(services, { id: 'r1', targets: ids.map(targetOf), tokens });
  }

  it('keeps memory on every engine reserved while the prompt runs', async () => {
    const reservations = create(100);
    expect(await reservations.acquire(DEADLINE_AT)).toEqual([]);
    await clock.advance(30_000);
    expect(engines.held).toBe(3);
  });

  describe('with an engine that takes no requests any more', () => {
    it.each([
      [
        'asked for a pause',
        () => {
          pauses.record('b', 1_000);
        },
      ],
      ['is leaving', () => leaving.add('b')],
    ])('since it %s, calls none of them', async (_reason, change) => {
      change();
      const reservations = create(100);
      expect(idsOf(await reservations.acquire(DEADLINE_AT))).toEqual(['b']);
      reservations.dispose();
      await clock.advance(10);
      expect(engines.calls).toBe(0);
    });

    it('keeps what it reserved before, as the prompt runs', async () => {
      await create(100).acquire(DEADLINE_AT);
      pauses.record('b', 30_000);
      await clock.advance(20_000);
      expect(engines.held).toBe(3);
    });
  });

  describe('with an engine in an evacuated zone', () => {
    let node: ForwardingFixture;

    beforeEach(() => {
      const ignore = (): void => undefined;
      const exchange = { abort: ignore, pause: ignore, resume: ignore };
      node = new ForwardingFixture({ clock, upstream: { send: () => exchange } });
      node.addTarget({ ...targetOf('a'), availabilityZone: 'x' });
      node.addTarget(targetOf('b'));
    });

    function createAtNode(): PromptReservations {
      const { targets: table } = node.dependencies;
      const services = { ...common, targets: table };
      const ids = ['a', 'b'].map(targetOf);
      return new PromptReservations(services, { id: 'r1', targets: ids, tokens: 100 });
    }

    it('asks none of the engines', async () => {
      node.evacuate('x');
      expect(idsOf(await createAtNode().acquire(DEADLINE_AT))).toEqual(['a']);
      expect(engines.calls).toBe(0);
    });

    it('renews and releases what was reserved before, as the prompt runs', async () => {
      const reservations = createAtNode();
      await reservations.acquire(DEADLINE_AT);
      node.evacuate('x');
      await clock.advance(20_000);
      expect(engines.held).toBe(2);
      reservations.dispose();
      await clock.advance(10);
      expect(engines.held).toBe(0);
    });
  });

  it('frees all memory when the prompt ends', async () => {
    const reservations = create(100);
    await reservations.acquire(DEADLINE_AT);
    reservations.dispose();
    await clock.advance(10);
    expect(engines.held).toBe(0);
  });

  it('returns the engine without capacity and frees the others when disposed', async () => {
    const reservations = create(2_000, ['a', 'small', 'c']);
    expect(idsOf(await reservations.acquire(DEADLINE_AT))).toEqual(['small']);
    reservations.dispose();
    await clock.advance(10);
    expect(engines.held).toBe(0);
  });

  it('frees the memory of a dead node within four seconds', async () => {
    const reservations = create(100);
    await reservations.acquire(DEADLINE_AT);
    // The node dies, so none of its calls is received any more.
    engines.callOutcome = CallOutcome.Lost;
    await clock.advance(4_000);
    expect(engines.held).toBe(0);
  });

  it('releases again what an unanswered call reserves after the release', async () => {
    engines.callOutcome = CallOutcome.Late;
    const reservations = create(100);
    const failed = reservations.acquire(DEADLINE_AT);
    await clock.advance(500);
    expect(idsOf(await failed)).toEqual(['a', 'b', 'c']);
    reservations.dispose();
    engines.callOutcome = CallOutcome.Answered;
    await clock.advance(LATE_MS + 2_000);
    expect(engines.held).toBe(0);
  });
});
