/** A request whose caller has already disconnected must not be sent. */
import { SystemClock } from '@tanagerdyke/kernel';
import { describe, expect, it } from 'vitest';
import { EventStreamSplitter } from '../common/EventStreamSplitter.js';
import { Execution } from '../common/Execution.js';
import { AnswerBuffers } from './AnswerBuffers.js';
import { exchangeBuffered } from './BufferedExchange.js';
import type { CallerResponse } from './CallerResponse.js';
import { targetEntry, testDialect } from './ForwardingFixture.js';
import { exchangeStream, StreamEnd } from './StreamExchange.js';
import type { Exchange, RequestSender } from './Upstream.js';

const TIME_LIMIT_MS = 60;

const target = targetEntry('t1', 'app', '127.0.0.1:1');

/** Counts requests and never answers. */
class UnresponsiveUpstream implements RequestSender {
  public sent = 0;

  public send(): Exchange {
    this.sent++;
    return { abort: () => undefined, pause: () => undefined, resume: () => undefined };
  }
}

function optionsOf(upstream: UnresponsiveUpstream): Parameters<typeof exchangeBuffered>[0] {
  const clock = new SystemClock();
  return {
    clock,
    dialect: testDialect,
    upstream,
    target,
    connections: 1,
    request: { method: 'POST', path: '/', headers: [], body: Buffer.alloc(0) },
    findObstacle: () => undefined,
    onAnswerHead: () => undefined,
    attemptId: 'a1',
    timeoutAt: clock.now() + TIME_LIMIT_MS,
    deadlineAt: clock.now() + TIME_LIMIT_MS,
    findReplacement: () => false,
    answerBuffers: new AnswerBuffers(),
    signal: AbortSignal.abort(),
  };
}

describe('an exchange whose caller disconnected before it began', () => {
  it('does not send a buffered request', async () => {
    const upstream = new UnresponsiveUpstream();
    const outcome = await exchangeBuffered(optionsOf(upstream));
    expect(upstream.sent).toBe(0);
    expect(outcome).toMatchObject({ execution: Execution.NotSent, isTimeout: false });
  });

  it('does not send a streamed request', async () => {
    const upstream = new UnresponsiveUpstream();
    const options = optionsOf(upstream);
    const outcome = await exchangeStream({
      ...options,
      splitter: new EventStreamSplitter(undefined),
      response: {} as unknown as CallerResponse,
      firstEventTimeoutMs: TIME_LIMIT_MS,
      nextEventTimeoutMs: TIME_LIMIT_MS,
      onFirstEvent: () => undefined,
      findReplacement: () => Promise.resolve(false),
    });
    expect(upstream.sent).toBe(0);
    expect(outcome).toMatchObject({ execution: Execution.NotSent, end: StreamEnd.Cancelled });
  });
});
