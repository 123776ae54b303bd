/** Replays crowds that hold memory beside ordinary callers, without a network. */
import { beforeEach, describe, expect, it } from 'vitest';
import {
  type CallerHolding,
  CallerMemory,
  HoldingState,
  MemoryLimit,
  REQUEST_BYTES,
} from './CallerMemory.js';

const MIB = 1024 * 1024;
/** An ordinary body, received and then put together. */
const ORDINARY_BYTES = 2 * 31_000;
const LIMITS = {
  bytes: 40 * MIB,
  largeBytes: 30 * MIB,
  callerBytes: 30 * MIB,
  connectionBytes: 10 * MIB,
  residentBytes: 180 * MIB,
};

describe('CallerMemory', () => {
  let memory: CallerMemory;
  let opened: number;

  beforeEach(() => {
    memory = new CallerMemory(LIMITS);
    opened = 0;
  });

  function open(now: number, caller = `caller ${opened}`, connection: object = {}): CallerHolding {
    opened++;
    return memory.open({ caller, connection, close: () => undefined }, now);
  }

  function grow(holding: CallerHolding, bytes: number, now: number): boolean {
    return memory.grow(holding, bytes, now).isAccepted;
  }

  /** Requests that hold a body each, as many as are accepted. */
  function fill(bytes: number, now: number, state = HoldingState.Receiving): CallerHolding[] {
    const holdings: CallerHolding[] = [];
    for (;;) {
      const holding = open(now);
      if (!grow(holding, bytes, now)) {
        memory.release(holding);
        return holdings;
      }
      holding.state = state;
      holdings.push(holding);
    }
  }

  it('keeps a reserve for small bodies while whole large ones wait', () => {
    fill(MIB, 0, HoldingState.Running);
    expect(memory.bytes).toBeLessThanOrEqual(LIMITS.largeBytes);
    expect(grow(open(10), ORDINARY_BYTES, 10)).toBe(true);
  });

  it('gives the memory of bodies that stopped short to a body that makes progress', () => {
    const stopped = fill(4 * MIB, 0);
    const late = open(1_000);
    const decision = memory.grow(late, 3 * MIB, 1_000);
    expect(decision).toMatchObject({ isAccepted: true });
    expect(decision.isAccepted && decision.evicted).toHaveLength(1);
    expect(decision.isAccepted && stopped.includes(decision.evicted[0] ?? late)).toBe(true);
    expect(memory.bytes).toBeLessThanOrEqual(LIMITS.bytes);
  });

  it('closes the request first that holds most for the longest time', () => {
    const old = open(0);
    grow(old, 6 * MIB, 0);
    const young = open(900);
    grow(young, 8 * MIB, 900);
    for (let count = 0; count < 3; count++) {
      grow(open(950), 4 * MIB, 950);
    }
    const decision = memory.grow(open(999), 8 * MIB, 1_000);
    expect(decision.isAccepted && decision.evicted).toEqual([old]);
  });

  it('refuses the request itself if it has cost most', () => {
    const slow = open(0);
    grow(slow, MIB, 0);
    for (let count = 0; count < 28; count++) {
      grow(open(5_000), MIB, 5_000);
    }
    expect(memory.grow(slow, MIB, 5_001)).toEqual({ isAccepted: false, limit: MemoryLimit.All });
  });

  it('never closes a request that may run, nor an ordinary body that just arrived', () => {
    fill(MIB, 0, HoldingState.Running);
    const ordinary = open(5_000);
    grow(ordinary, ORDINARY_BYTES, 5_000);
    expect(grow(open(5_001), 2 * MIB, 5_001)).toBe(false);
    expect(ordinary.bytes).toBeGreaterThan(ORDINARY_BYTES);
  });

  it('leaves a share to others when one caller floods', () => {
    let count = 0;
    while (grow(open(0, 'flood'), ORDINARY_BYTES, 0)) {
      count++;
    }
    expect(count * ORDINARY_BYTES).toBeLessThanOrEqual(LIMITS.callerBytes);
    expect(grow(open(0, 'other'), ORDINARY_BYTES, 0)).toBe(true);
  });

  it('closes callers that do not read, the slowest first, when further answers come', () => {
    const unread = [0, 100, 200].map((at) => {
      const holding = open(at);
      memory.add(holding, 4 * MIB, at);
      holding.state = HoldingState.Unread;
      return holding;
    });
    expect(memory.add(open(1_000), 4 * MIB, 1_000)).toEqual([unread[0]]);
    expect(memory.bytes).toBeLessThanOrEqual(LIMITS.largeBytes / 2 + 4 * REQUEST_BYTES);
  });

  it('limits the requests of one connection together', () => {
    const connection = {};
    expect(grow(open(0, 'c', connection), 6 * MIB, 0)).toBe(true);
    expect(memory.grow(open(0, 'c', connection), 6 * MIB, 0)).toEqual({
      isAccepted: false,
      limit: MemoryLimit.Connection,
    });
  });

  it('refuses large bodies but one, and no small ones, while garbage fills the memory of the host', () => {
    memory.recordResident(LIMITS.residentBytes + 1);
    const largest = open(0);
    expect(grow(largest, 8 * MIB, 0)).toBe(true);
    largest.state = HoldingState.Running;
    expect(grow(open(0), 4 * MIB, 0)).toBe(false);
    expect(grow(open(0), ORDINARY_BYTES, 0)).toBe(true);
    memory.recordResident(LIMITS.residentBytes - 1);
    expect(grow(open(0), 4 * MIB, 0)).toBe(true);
  });

  it('counts nothing when all requests have ended, evicted ones among them', () => {
    const holdings = [...fill(4 * MIB, 0), open(1_000)];
    memory.grow(holdings.at(-1) ?? open(0), 4 * MIB, 1_000);
    for (const holding of holdings) {
      memory.add(holding, 100, 2_000);
      memory.release(holding);
    }
    expect(memory.bytes).toBe(0);
    // A request of a caller and connection that were counted before starts from nothing.
    expect(fill(4 * MIB, 2_000).length).toBeGreaterThan(0);
  });
});
