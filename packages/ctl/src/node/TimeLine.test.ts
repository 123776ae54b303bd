/** Tests how events of several nodes are corrected for skew, merged, selected and drawn. */
import type { TimeLineEvent } from '@tanagerdyke/kernel';
import { describe, expect, it } from 'vitest';
import { ClockSkew } from './ClockSkew.js';
import { EventFilter } from './EventFilter.js';
import { describeRollout, rolloutOf } from './Rollout.js';
import { TimeLineDrawing } from './TimeLineDrawing.js';
import { mergeEvents } from './TimeLineReader.js';

function event(
  node: string,
  sequence: number,
  at: number,
  name: string,
  fields: TimeLineEvent['fields'] = {},
): TimeLineEvent {
  return { node, sequence, at, name, fields, incarnation: 1 };
}

const EVENTS = [
  event('a', 0, 1, 'completion.admitted', { request: 'r1', workspace: 'w1' }),
  event('a', 1, 2, 'completion.admitted', { request: 'r2', workspace: 'w2' }),
  event('a', 2, 3, 'completion.dispatched', { request: 'r1', attempt: 't1', target: 'e1' }),
  event('b', 0, 4, 'target.granted', { attempt: 't1', target: 'e1' }),
  event('b', 1, 5, 'target.granted', { attempt: 't2', target: 'e2' }),
];

function namesOf(selection: ConstructorParameters<typeof EventFilter>[0]): readonly string[] {
  return new EventFilter(selection)
    .select(EVENTS)
    .map(({ node, sequence }) => `${node}${sequence}`);
}

describe('ClockSkew', () => {
  it('uses the shortest round trip', () => {
    const skew = new ClockSkew();
    skew.observe({ sentAt: 0, receivedAt: 100, nodeAt: 1_090 });
    skew.observe({ sentAt: 200, receivedAt: 210, nodeAt: 1_205 });
    skew.observe({ sentAt: 300, receivedAt: 400, nodeAt: 1_310 });
    expect(skew.aheadMs).toBe(1_000);
  });
});

describe('mergeEvents', () => {
  it('orders events of several nodes by time', () => {
    const [one, two] = [event('a', 0, 5, 'x'), event('b', 0, 3, 'y')];
    expect(mergeEvents([[one], [two]])).toEqual([two, one]);
  });

  it('keeps the order of a node whose clock stepped back, also around events of others', () => {
    const first = event('a', 0, 9, 'x');
    const second = event('a', 1, 2, 'x');
    const between = event('b', 0, 5, 'y');
    const merged = mergeEvents([[first, second], [between]]);
    expect(merged.indexOf(first)).toBeLessThan(merged.indexOf(second));
  });
});

describe('EventFilter', () => {
  it('selects the events of a request and of its attempts on other nodes', () => {
    expect(namesOf({ request: 'r1' })).toEqual(['a0', 'a2', 'b0']);
  });

  it('selects the events of the requests of a workspace', () => {
    expect(namesOf({ workspace: 'w1' })).toEqual(['a0', 'a2', 'b0']);
  });

  it.each([
    [{ target: 'e2' }, ['b1']],
    [{ node: 'b' }, ['b0', 'b1']],
    [{ name: 'completion' }, ['a0', 'a1', 'a2']],
    [{ name: 'completion.dispatched' }, ['a2']],
    [{ workspace: 'w1', name: 'target' }, ['b0']],
    [{}, ['a0', 'a1', 'a2', 'b0', 'b1']],
  ])('selects by %j', (selection, expected) => {
    expect(namesOf(selection)).toEqual(expected);
  });
});

describe('TimeLineDrawing', () => {
  it('draws one column per node', () => {
    const lines = new TimeLineDrawing().draw(EVENTS.slice(2, 4));
    expect(lines).toEqual([
      '            ┬ a',
      '      +0.0  ●  completion.dispatched request=r1 attempt=t1 target=e1',
      '            │ ┬ b',
      '      +1.0  │ ●  target.granted attempt=t1 target=e1',
    ]);
  });
});

describe('rolloutOf', () => {
  it('names the nodes that are behind', () => {
    const member = (name: string, configurationOffset: number) => ({
      name,
      callerAddress: '',
      availabilityZone: 'z',
      incarnation: 1,
      status: 'alive',
      state: { configurationOffset, configurationDigest: '', isReady: true, isDraining: false },
    });
    const rollout = rolloutOf([member('a', 7), member('b', 6), member('c', 8)], 7);
    expect(rollout).toMatchObject({ inForceOn: 2, live: 3 });
    expect(describeRollout(rollout)).toBe(
      'offset 7 in force on 2 of 3 live nodes; behind: b (at 6)',
    );
  });
});
