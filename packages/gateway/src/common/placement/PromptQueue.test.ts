/** Replays a burst in which all slots are taken and prompts wait for the next one. */
import { SeededRandom } from '@tanagerdyke/kernel';
import { describe, expect, it } from 'vitest';
import type { PromptRequest } from './PlacementDecision.js';
import { promptRequest } from './PlacementFixtures.js';
import { promptValue } from './PlacementLoss.js';
import { PromptQueue } from './PromptQueue.js';

function queueOf(...requests: Partial<PromptRequest>[]): PromptQueue<{
  readonly request: PromptRequest;
  readonly arrivedAt: number;
}> {
  const queue = new PromptQueue();
  for (const [index, change] of requests.entries()) {
    queue.add({ request: promptRequest({ id: String(index), ...change }), arrivedAt: 0 });
  }
  return queue;
}

function idsInOrder(queue: ReturnType<typeof queueOf>, now = 0): string[] {
  return queue.inOrder(now).map(({ request }) => request.id);
}

describe('PromptQueue', () => {
  it('puts short prompts before long ones, which take more engine time for their value', () => {
    const queue = queueOf({ id: 'long', promptTokens: 210_000, dueAt: 3_000 }, { id: 'short' });
    expect(idsInOrder(queue)).toEqual(['short', 'long']);
  });

  it('puts a prompt that can be in time before an equal one that would be late', () => {
    const queue = queueOf({ id: 'late', dueAt: 10 }, { id: 'timely', dueAt: 300 });
    expect(idsInOrder(queue)).toEqual(['timely', 'late']);
  });

  it('alternates between a workspace with many waiting prompts and one with few', () => {
    const flood = Array.from({ length: 5 }, (_each, index) => ({
      id: `flood${index}`,
      workspace: 'large',
    }));
    const queue = queueOf(...flood, { id: 'single', workspace: 'small' });
    expect(idsInOrder(queue).indexOf('single')).toBeLessThan(2);
  });

  it('ranks prompts by the answer that is expected, not by the one that they state', () => {
    const expected = { outputTokens: 100, generationMs: undefined };
    const queue = queueOf({ id: 'stated' }, { id: 'brief', workspace: 'x', expected });
    expect(idsInOrder(queue)).toEqual(['brief', 'stated']);
    const slow = { outputTokens: 100, generationMs: 5_000 };
    queue.add({
      request: promptRequest({ id: 'slow', workspace: 'y', expected: slow }),
      arrivedAt: 0,
    });
    expect(idsInOrder(queue)).toEqual(['brief', 'stated', 'slow']);
  });

  it('puts a caller that returns before new ones', () => {
    const queue = queueOf({ id: 'new', workspace: 'a' }, { id: 'again', isReturning: true });
    expect(idsInOrder(queue)).toEqual(['again', 'new']);
  });

  it('serves a long prompt in the end, however many short ones arrive after it', () => {
    const queue = queueOf({ id: 'long', promptTokens: 210_000, dueAt: 3_000, workspace: 'l' });
    const request = promptRequest({ id: 'short', dueAt: 10_300 });
    queue.add({ request, arrivedAt: 10_000 });
    expect(idsInOrder(queue, 10_000)).toEqual(['long', 'short']);
  });

  it('serves more value in time in a burst than first come, first served', () => {
    const SLOT_INTERVAL_MS = 20;
    const SHORT = 5_000;
    const LONG = 150_000;
    const random = new SeededRandom(7);
    const prompts = Array.from({ length: 80 }, (_each, index) => {
      const promptTokens = random.next() < 0.15 ? LONG : SHORT;
      const dueAt = index + (promptTokens === LONG ? 3_000 : 300);
      return { request: promptRequest({ promptTokens, dueAt }), arrivedAt: index };
    });
    /** Value of the prompts that get a slot before they are due; one slot is freed at a time. */
    const valueServed = (next: (now: number) => (typeof prompts)[number] | undefined): number => {
      let value = 0;
      for (let now = 100; now < 3_000; now += SLOT_INTERVAL_MS) {
        const prompt = next(now);
        const { dueAt, outputTokens, promptTokens } = prompt?.request ?? promptRequest();
        value += prompt !== undefined && now < dueAt ? promptValue(promptTokens, outputTokens) : 0;
      }
      return value;
    };
    const queue = new PromptQueue<(typeof prompts)[number]>();
    prompts.forEach((prompt) => {
      queue.add(prompt);
    });
    const ordered = valueServed((now) => {
      const [first] = queue.inOrder(now);
      if (first !== undefined) {
        queue.remove(first);
      }
      return first;
    });
    const arrivals = [...prompts];
    const inArrivalOrder = valueServed(() => arrivals.shift());
    expect(ordered).toBeGreaterThan(inArrivalOrder * 1.02);
  });

  it('counts the prompts that would be served before a new one', () => {
    const queue = queueOf(
      { id: 'long', promptTokens: 210_000, dueAt: 3_000 },
      { id: 'short', workspace: 'x' },
    );
    const ahead = (change: Partial<PromptRequest>): number =>
      queue.countAhead(
        { request: promptRequest({ workspace: 'other', ...change }), arrivedAt: 0 },
        0,
      );
    expect(ahead({})).toBe(1);
    expect(ahead({ promptTokens: 300_000, dueAt: 3_000 })).toBe(2);
  });
});
