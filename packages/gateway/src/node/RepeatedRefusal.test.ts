/** Targets that write an earlier refusal once more on a kept connection, before they run a request. */
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { attemptOf, ForwardingHarness, type TargetScript } from './ForwardingHarness.js';

/** An answer with the id of an attempt, or with none. */
function answer(status: number, id: string | undefined, headers: readonly string[]): string {
  const lines = [
    `HTTP/1.1 ${status} Scripted`,
    ...(id === undefined ? [] : [`Attempt: ${id}`]),
    'Content-Length: 0',
    ...headers,
  ];
  return `${lines.join('\r\n')}\r\n\r\n`;
}

const refusal = (id: string | undefined): string => answer(503, id, ['Not-Run: yes']);

describe('a target that repeats a refusal on a kept connection', () => {
  let harness: ForwardingHarness;
  /** Attempts that the targets ran. */
  let ran: string[];

  beforeEach(async () => {
    ran = [];
    harness = new ForwardingHarness();
    await harness.start();
  });

  afterEach(() => harness.stop());

  /** Refuses the first request of a connection, and writes that once more for the second. */
  function repeating(idOf: (attempt: string) => string | undefined): TargetScript {
    const refused = new Map<unknown, string>();
    return (socket, request) => {
      const attempt = attemptOf(request);
      const earlier = refused.get(socket);
      if (earlier === undefined) {
        refused.set(socket, attempt);
        socket.write(refusal(idOf(attempt)));
        return;
      }
      ran.push(attempt);
      socket.write(refusal(idOf(earlier)));
      setTimeout(() => socket.write(answer(200, attempt, [])), 20);
    };
  }

  /** Runs each request and answers it. */
  const sound: TargetScript = (socket, request) => {
    ran.push(attemptOf(request));
    socket.write(answer(200, attemptOf(request), []));
  };

  function post(path: string, attempt: string): Promise<string> {
    return harness.post(path, [], '', attempt);
  }

  describe.each([
    ['with its id', (attempt: string) => attempt],
    ['without an id', () => undefined],
  ])('%s', (_what, idOf) => {
    it('does not make a call that ran count as not run', async () => {
      await harness.addTarget('t1', 'app', repeating(idOf));
      expect(await post('/once/x', 'a1')).toContain('HTTP/1.1 503');
      const second = await post('/once/x', 'a2');
      expect(ran).toEqual(['a2']);
      expect(second).toMatch(/HTTP\/1\.1 (200|502)/);
    });

    it('does not make a call run at a second target', async () => {
      const script = repeating(idOf);
      await harness.addTarget('t1', 'app', script);
      await post('/once/x', 'a1');
      await harness.addTarget('t2', 'app', sound);
      for (const attempt of ['a2', 'a3', 'a4', 'a5']) {
        await post('/once/x', attempt);
      }
      expect(ran.filter((attempt, index) => ran.indexOf(attempt) !== index)).toEqual([]);
    });

    it('does not shift the answers to later requests', async () => {
      await harness.addTarget('t1', 'app', repeating(idOf));
      await post('/once/x', 'a1');
      await post('/once/x', 'a2');
      // On a new connection, the first request is refused again.
      expect(await post('/once/x', 'a3')).toContain('HTTP/1.1 503');
    });

    it('is still a refusal when it is the first answer of a connection', async () => {
      await harness.addTarget('t1', 'app', repeating(idOf));
      expect(await post('/once/x', 'a1')).toContain('HTTP/1.1 503');
      expect(ran).toEqual([]);
    });
  });

  it('does not count an attempt as not run that its connection has carried before', async () => {
    await harness.addTarget(
      't1',
      'app',
      repeating((attempt) => attempt),
    );
    expect(await post('/once/x', 'a1')).toContain('HTTP/1.1 503');
    // A caller that sends the same attempt again is not expected, but must not be misled.
    const again = await post('/once/x', 'a1');
    expect(ran).toEqual(['a1']);
    expect(again).not.toContain('HTTP/1.1 503');
  });
});
