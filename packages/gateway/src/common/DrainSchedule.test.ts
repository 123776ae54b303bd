import { describe, expect, it } from 'vitest';
import { areEnough } from './DrainPeers.js';
import { type DrainPeers, DrainSchedule } from './DrainSchedule.js';

const SHUTDOWN_MS = 8_000;
const START = 1_000;
/** A request sent later than this after the signal counts as lost if it is cut off. */
const LATEST_ACCEPTED_MS = 3_000;
const OTHERS_READY: DrainPeers = {
  ...{ isAnyReady: true, areEnoughReady: true },
  ...{ isAnyAccepting: false, rank: 0 },
};
const ALONE: DrainPeers = { ...OTHERS_READY, isAnyReady: false, areEnoughReady: false };

describe('DrainSchedule', () => {
  const schedule = new DrainSchedule(START, SHUTDOWN_MS);
  const busy = { running: 1, lastRequestAt: START };

  it('accepts requests at first, since callers cache addresses', () => {
    expect(schedule.acceptsRequests(START + 2_000, OTHERS_READY)).toBe(true);
  });

  it('rejects requests that might not complete in time', () => {
    // Guards against a request being accepted 3.3 s after the signal and cut off at the end of the
    // drain, as with `mix --seed 485730284121`.
    expect(schedule.acceptsRequests(START + LATEST_ACCEPTED_MS - 200, OTHERS_READY)).toBe(false);
  });

  it('waits for requests in flight, but answers them before the process is killed', () => {
    expect(schedule.isOver(START + 6_000, busy)).toBe(false);
    expect(schedule.isOver(START + SHUTDOWN_MS - 500, busy)).toBe(true);
    expect(schedule.lastAnswerAt).toBeLessThan(START + SHUTDOWN_MS - 500);
    expect(schedule.mustExit(schedule.lastAnswerAt)).toBe(false);
    expect(schedule.mustExit(START + SHUTDOWN_MS - 500)).toBe(true);
  });

  it('exits early when no request is in flight and none arrived recently', () => {
    expect(schedule.isOver(4_000, { running: 0, lastRequestAt: 3_500 })).toBe(false);
    expect(schedule.isOver(4_000, { running: 0, lastRequestAt: 2_500 })).toBe(true);
    expect(schedule.isOver(2_000, { running: 0, lastRequestAt: 0 })).toBe(false);
  });

  it('accepts late only what is answered before the node ends, so that nothing is cut off', () => {
    const end = schedule.lastAnswerAt;
    expect(schedule.admits(START + 2_000, end + 5_000)).toBe(true);
    expect(schedule.admits(START + 3_000, end + 1)).toBe(false);
    expect(schedule.admits(START + 3_000, end)).toBe(true);
  });

  describe('while no node is ready', () => {
    it('accepts requests for longer, but not to the end', () => {
      expect(schedule.acceptsRequests(START + 4_000, ALONE)).toBe(true);
      expect(schedule.acceptsRequests(START + 5_500, ALONE)).toBe(false);
    });

    it('accepts requests again when the last ready node starts to drain, too', () => {
      expect(schedule.acceptsRequests(START + 3_000, OTHERS_READY)).toBe(false);
      expect(schedule.acceptsRequests(START + 3_500, ALONE)).toBe(true);
    });

    it('lets half of the draining nodes of a zone end early, so that they are back', () => {
      const acceptingAt = (rank: number): boolean =>
        schedule.acceptsRequests(START + 4_000, { ...ALONE, isAnyAccepting: true, rank });
      expect([0, 1, 2, 3].map(acceptingAt)).toEqual([false, true, false, true]);
    });

    it('lets half of them go on while a single ready node would have to serve all callers', () => {
      const acceptingAt = (rank: number): boolean =>
        schedule.acceptsRequests(START + 4_000, { ...OTHERS_READY, areEnoughReady: false, rank });
      expect([0, 1, 2, 3].map(acceptingAt)).toEqual([false, true, false, true]);
    });

    it('tells callers to come back when nodes may have started again, spread over time', () => {
      expect(schedule.retryAfterMs(OTHERS_READY, 0.9)).toBeLessThan(100);
      expect(schedule.retryAfterMs({ ...ALONE, isAnyAccepting: true }, 0.9)).toBeLessThan(100);
      expect(schedule.retryAfterMs(ALONE, 0)).toBe(1_000);
      expect(schedule.retryAfterMs(ALONE, 0.9)).toBeGreaterThan(1_500);
    });
  });
});

/** A node of a zone that is told to stop at a time, and is started again after it has ended. */
interface SimulatedNode {
  readonly signalAt: number;
  schedule: DrainSchedule | undefined;
  isAccepting: boolean;
  lastRequestAt: number;
  readyAgainAt: number | undefined;
  /** What the others know of it. */
  seen: { isReady: boolean; isDraining: boolean; isAccepting: boolean };
}

const STEP_MS = 50;
/** Time until the others know of a change. */
const NEWS_MS = 500;
/** Time from the end of a process until it is ready again. */
const RESTART_MS = 1_200;

/** Plays planned stops under load, and returns the time in which no node accepts requests. */
function unservedMs(signalTimes: readonly number[], knowsPeers: boolean): number {
  const nodes: SimulatedNode[] = signalTimes.map((signalAt) => ({
    signalAt,
    schedule: undefined,
    isAccepting: true,
    lastRequestAt: 0,
    readyAgainAt: undefined,
    seen: { isReady: true, isDraining: false, isAccepting: false },
  }));
  const history: SimulatedNode['seen'][][] = [];
  let unserved = 0;
  for (let now = 0; now < 40_000; now += STEP_MS) {
    history.push(nodes.map(stateOf));
    const news = history[Math.max(0, history.length - 1 - NEWS_MS / STEP_MS)] ?? [];
    nodes.forEach((node, index) => {
      step(node, now, knowsPeers ? peersOf(news, index) : OTHERS_READY);
    });
    const accepting = nodes.filter(({ isAccepting }) => isAccepting);
    for (const node of accepting) {
      node.lastRequestAt = now;
    }
    unserved += accepting.length === 0 ? STEP_MS : 0;
  }
  return unserved;
}

function stateOf({ isAccepting, schedule }: SimulatedNode): SimulatedNode['seen'] {
  return {
    isReady: isAccepting && schedule === undefined,
    isDraining: schedule !== undefined,
    isAccepting: isAccepting && schedule !== undefined,
  };
}

function peersOf(news: readonly SimulatedNode['seen'][], self: number): DrainPeers {
  const others = news.filter((_each, index) => index !== self);
  const ready = others.filter(({ isReady }) => isReady).length;
  return {
    isAnyReady: ready > 0,
    areEnoughReady: areEnough(ready, news.filter(({ isDraining }) => isDraining).length),
    isAnyAccepting: others.some(({ isAccepting }) => isAccepting),
    rank: news.slice(0, self).filter(({ isDraining }) => isDraining).length,
  };
}

function step(node: SimulatedNode, now: number, peers: DrainPeers): void {
  if (node.readyAgainAt !== undefined) {
    node.isAccepting = now >= node.readyAgainAt;
    return;
  }
  if (node.schedule === undefined && now >= node.signalAt) {
    node.schedule = new DrainSchedule(now, SHUTDOWN_MS);
  }
  if (node.schedule === undefined) {
    return;
  }
  node.isAccepting = node.schedule.acceptsRequests(now, peers);
  if (node.schedule.isOver(now, { running: 0, lastRequestAt: node.lastRequestAt })) {
    node.isAccepting = false;
    node.schedule = undefined;
    node.readyAgainAt = now + RESTART_MS;
  }
}

describe('planned stops of all nodes of a zone', () => {
  const together = [1_000, 1_000, 1_000, 1_000, 1_000, 1_000];

  it.each([
    ['at once', together],
    ['one after the other, every 400 ms', together.map((at, index) => at + index * 400)],
    ['one after the other, every 2 s', together.map((at, index) => at + index * 2_000)],
    ['in two groups', [1_000, 1_000, 1_000, 2_800, 2_800, 2_800]],
    ['in two groups, the last ones first', [3_200, 3_200, 3_200, 1_000, 1_000, 1_000]],
    ['that are two', [1_000, 1_700]],
  ])('leave some node that accepts requests: %s', (_what, times) => {
    expect(unservedMs(times, true)).toBe(0);
  });

  it('leave none for seconds if each node decides without the others', () => {
    expect(unservedMs(together, false)).toBeGreaterThan(2_000);
  });

  it('leave none while the only node of a small system starts again, but no longer', () => {
    expect(unservedMs([1_000], true)).toBeLessThanOrEqual(1_000 + RESTART_MS + 2 * STEP_MS);
  });
});
