/** Exchanges whose caller left before they began. */
import { SystemClock } from '@tanagerdyke/kernel';
import { describe, expect, it } from 'vitest';
import { EventStreamSplitter } from '../common/EventStreamSplitter.js';
import { Execution } from '../common/Execution.js';
import type { CallerResponse } from './CallerResponse.js';
import { exchangeStream, StreamEnd } from './StreamExchange.js';
import { targetEntry, testDialect } from './TestForwarding.js';
import type { Exchange, RequestSender } from './Upstream.js';
import { exchangeWhole } from './WholeExchange.js';

const TIME_LIMIT_MS = 60;

const target = targetEntry('t1', 'app', '127.0.0.1:1');

/** Never answers, and counts what is sent. */
class SilentUpstream implements RequestSender {
  public sent = 0;

  public send(): Exchange {
    this.sent++;
    return { abort: () => undefined, pause: () => undefined, resume: () => undefined };
  }
}

function optionsOf(upstream: SilentUpstream): Parameters<typeof exchangeWhole>[0] {
  const clock = new SystemClock();
  return {
    clock,
    dialect: testDialect,
    upstream,
    target,
    connections: 1,
    request: { method: 'POST', path: '/', headers: [], body: Buffer.alloc(0) },
    attemptId: 'a1',
    giveUpAt: clock.now() + TIME_LIMIT_MS,
    signal: AbortSignal.abort(),
  };
}

describe('an exchange whose caller left before it began', () => {
  it('sends no call', async () => {
    const upstream = new SilentUpstream();
    const outcome = await exchangeWhole(optionsOf(upstream));
    expect(upstream.sent).toBe(0);
    expect(outcome).toMatchObject({ execution: Execution.NotSent, isLate: false });
  });

  it('sends no stream', async () => {
    const upstream = new SilentUpstream();
    const options = optionsOf(upstream);
    const outcome = await exchangeStream({
      ...options,
      splitter: new EventStreamSplitter(undefined),
      response: {} as unknown as CallerResponse,
      deadlineAt: options.giveUpAt,
      firstSilenceMs: TIME_LIMIT_MS,
      silenceMs: TIME_LIMIT_MS,
      onFirstEvent: () => undefined,
    });
    expect(upstream.sent).toBe(0);
    expect(outcome).toMatchObject({ execution: Execution.NotSent, end: StreamEnd.Unwanted });
  });
});
