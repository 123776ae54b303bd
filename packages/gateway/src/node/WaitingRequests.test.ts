/**
 * Requests that wait between the choice of their target and their first byte, while the target states
 * that it takes no more: in the pool of its connections, or in the queue for its capacity.
 */
import type { Socket } from 'node:net';
import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import {
  answerText,
  attemptOf,
  chunkOf,
  ForwardingHarness,
  STREAM_END,
  STREAM_HEAD,
} from './ForwardingHarness.js';

const SERVED = ' 200 ';
const REFUSED = ' 503 ';
/** Requests that the target may get after its first statement; the others have another target. */
const MAX_AFTER_STATEMENT = 2;
const REQUESTS = 60;

describe('requests that wait for a connection or for capacity', () => {
  let harness: ForwardingHarness;
  /** Connections with a request that the target has not answered, and its attempt id. */
  let held: { readonly socket: Socket; readonly attempt: string }[];

  beforeEach(async () => {
    harness = new ForwardingHarness();
    held = [];
    await harness.start();
  });

  afterEach(async () => {
    await harness.stop();
  });

  async function play(service: string, path: string, statement: string): Promise<string[]> {
    await harness.addTarget('stating', service, (socket, request) => {
      held.push({ socket, attempt: attemptOf(request) });
    });
    const answers = Array.from({ length: REQUESTS }, (_each, index) =>
      harness.post(path, [], '', `a${index}`),
    );
    await vi.waitFor(() => {
      expect(held.length).toBeGreaterThanOrEqual(4);
    });
    // The other requests have been read by then, so they wait.
    await new Promise((resolve) => setTimeout(resolve, 100));
    const refuse = ({ attempt, socket }: (typeof held)[number]): void => {
      socket.write(answerText(503, ['Not-Run: 1', statement], '', attempt));
    };
    await harness.addTarget('other', service, (socket, request) => {
      const attempt = attemptOf(request);
      socket.end(
        service === 'engine'
          ? STREAM_HEAD.replace('a1', attempt) + chunkOf('id: 1\ndata: x\n\n') + STREAM_END
          : answerText(200, [], '', attempt),
      );
    });
    const [first, ...others] = held.splice(0);
    const before = harness.received.length;
    if (first !== undefined) {
      refuse(first);
    }
    await vi.waitFor(() => {
      expect(harness.lines.some((line) => line.includes('"event":"target.'))).toBe(true);
    });
    others.forEach(refuse);
    const refuseLate = setInterval(() => {
      held.splice(0).forEach(refuse);
    }, 5);
    const texts = await Promise.all(answers);
    clearInterval(refuseLate);
    const late = harness.received.slice(before).filter((each) => each.includes('Target: stating'));
    expect(late.length).toBeLessThanOrEqual(MAX_AFTER_STATEMENT);
    return texts;
  }

  describe.each([
    ['repeatable calls', 'app', '/idempotent/x'],
    ['calls that may run once', 'app', '/once/x'],
    ['streams', 'engine', '/stream/x'],
  ])('%s', (_name, service, path) => {
    it.each([
      ['a pause', 'Pause: 30000'],
      ['a rate limit', 'Rate: 0.01'],
      ['that it is leaving', 'Leaving: 1'],
    ])('are not sent to a target that stated %s meanwhile', async (_statement, statement) => {
      const answers = await play(service, path, statement);
      const served = answers.filter((each) => each.includes(SERVED));
      const refused = answers.filter((each) => each.includes(REFUSED));
      const run = harness.received.filter((each) => each.includes('Target: other'));
      expect(served.length).toBeGreaterThan(0);
      expect(served.length + refused.length).toBe(REQUESTS);
      expect(run.length).toBe(served.length);
    });
  });
});
