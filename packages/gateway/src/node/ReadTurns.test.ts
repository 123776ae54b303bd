/** Tests of sharing the event loop among connections, with turns that the test begins. */
import { beforeEach, describe, expect, it } from 'vitest';
import { type ConnectionTurn, ReadTurns } from './ReadTurns.js';

describe('ReadTurns', () => {
  let next: (() => void)[];
  let turns: ReadTurns;
  /** Pieces that each connection has read, by name. */
  let read: Map<string, number>;

  beforeEach(() => {
    next = [];
    read = new Map();
    turns = new ReadTurns((callback) => next.push(callback));
  });

  function beginTurn(): void {
    const [callback] = next.splice(0, 1);
    callback?.();
  }

  /** A connection with pieces that it reads one by one, as far as it may. */
  function open(name: string, pieces: number): ConnectionTurn {
    let left = pieces;
    const readOn = (): void => {
      while (left > 0 && turn.left > 0) {
        turn.spend(0, 1);
        left--;
        read.set(name, (read.get(name) ?? 0) + 1);
      }
      if (left > 0) {
        turn.wait();
      }
    };
    const turn = turns.open(readOn);
    readOn();
    return turn;
  }

  function piecesOf(name: string): number {
    return read.get(name) ?? 0;
  }

  it('lets a connection with few pieces read at once, whatever others wait for', () => {
    for (let count = 0; count < 60; count++) {
      open(`large ${count}`, 100_000);
    }
    open('small', 10);
    expect(piecesOf('small')).toBe(10);
    beginTurn();
    open('later', 10);
    expect(piecesOf('later')).toBe(10);
  });

  it('bounds the work in a turn, whatever the number of connections', () => {
    for (let count = 0; count < 60; count++) {
      open(`large ${count}`, 100_000);
    }
    const total = (): number => [...read.values()].reduce((sum, each) => sum + each, 0);
    const before = total();
    beginTurn();
    const inTurn = total() - before;
    expect(inTurn).toBeGreaterThan(0);
    expect(inTurn).toBeLessThanOrEqual(200);
  });

  it('serves all connections that wait in turn, until each has read all', () => {
    for (let count = 0; count < 7; count++) {
      open(`large ${count}`, 500);
    }
    for (let turn = 0; turn < 8; turn++) {
      beginTurn();
    }
    const counts = Array.from({ length: 7 }, (_each, index) => piecesOf(`large ${index}`));
    expect(Math.min(...counts)).toBeGreaterThan(Math.max(...counts) / 2);
    for (let turn = 0; turn < 40; turn++) {
      beginTurn();
    }
    expect([...read.values()]).toEqual(Array.from({ length: 7 }, () => 500));
  });

  it('calls back no connection that is closed', () => {
    const turn = open('large', 500);
    const before = piecesOf('large');
    turn.dispose();
    beginTurn();
    expect(piecesOf('large')).toBe(before);
  });
});
