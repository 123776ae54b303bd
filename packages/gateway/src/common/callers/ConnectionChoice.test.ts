import { describe, expect, it } from 'vitest';
import { chooseClosed, ConnectionUse } from './ConnectionChoice.js';

const state = (use: ConnectionUse, since: number) => ({ use, since });

describe('chooseClosed', () => {
  it('spares ordinary callers while a crowd holds connections without a request', () => {
    const crowd = [state(ConnectionUse.New, 5), state(ConnectionUse.New, 3)];
    const ordinary = [
      state(ConnectionUse.Idle, 0),
      state(ConnectionUse.Running, 0),
      state(ConnectionUse.New, 9),
    ];
    expect(chooseClosed([...ordinary, ...crowd])).toBe(crowd[1]);
  });

  it('closes a caller that does not read before one that keeps its connection', () => {
    const unread = state(ConnectionUse.Unread, 7);
    expect(chooseClosed([state(ConnectionUse.Idle, 0), unread])).toBe(unread);
  });

  it('never closes a connection with a request that may run', () => {
    expect(chooseClosed([state(ConnectionUse.Running, 0)])).toBeUndefined();
  });
});
