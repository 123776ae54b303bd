/** Requests to a peer whose link went silent, between real sockets. */
import { ErrorKind } from '@tanagerdyke/kernel';
import { Delivery, type LinkSilence, SocketTransport } from '@tanagerdyke/mesh';
import { Result } from 'true-myth';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { FaultProxy } from './FaultProxy.js';
import { SlowClock } from './SlowClock.js';

/** Time passes this much more slowly, so that no time limit depends on the machine's speed. */
const SLOWDOWN = 4;
const TIMEOUT_MS = 1_000;
const METHOD = 'test.echo';
const HOST = '127.0.0.1';

describe('SocketTransport on a link that went silent', () => {
  const clock = new SlowClock(SLOWDOWN);
  let caller: SocketTransport;
  let peer: SocketTransport;
  let proxy: FaultProxy;
  let address: string;
  let handled: unknown[];
  let silences: LinkSilence[];
  /** Time for which the peer works on a request. */
  let workMs: number;

  beforeEach(async () => {
    handled = [];
    silences = [];
    workMs = 0;
    caller = await SocketTransport.listen(clock, HOST, 0, { count: () => undefined });
    peer = await SocketTransport.listen(clock, HOST, 0, { count: () => undefined });
    peer.handle(METHOD, async (params) => {
      handled.push(params);
      await clock.sleep(workMs);
      return Result.ok(params);
    });
    caller.onLinkSilent((silence) => silences.push(silence));
    proxy = new FaultProxy(Number(peer.address.split(':')[1]));
    address = `${HOST}:${await proxy.listen()}`;
    await send('first');
    proxy.silenceOpenConnections();
  });

  afterEach(() => {
    caller.dispose();
    peer.dispose();
    proxy.close();
  });

  /** Sends a request and returns the answer, or the kind of the error. */
  async function send(
    params: string,
    delivery?: Delivery,
    timeoutMs = TIMEOUT_MS,
  ): Promise<unknown> {
    const response = await caller.request(address, METHOD, params, timeoutMs, delivery);
    return response.match({ Ok: (value) => value, Err: ({ kind }) => kind });
  }

  describe('a request that may be handled twice', () => {
    it('is answered over a new link', async () => {
      expect(await send('second', Delivery.AtLeastOnce)).toBe('second');
    });

    it('is answered as each of many at once', async () => {
      const keys = Array.from({ length: 20 }, (_each, index) => `request ${index}`);
      const answers = await Promise.all(keys.map((key) => send(key, Delivery.AtLeastOnce)));
      expect(answers).toEqual(keys);
      expect(silences).toHaveLength(1);
    });

    it('is answered although others follow it all the time', async () => {
      const answers = Array.from({ length: 12 }, async (_each, index) => {
        await clock.sleep(index * 50);
        return send(`request ${index}`, Delivery.AtLeastOnce);
      });
      expect(await Promise.all(answers)).not.toContain(ErrorKind.LinkFailed);
    });
  });

  describe('a request that may be handled once', () => {
    it('is not sent again', async () => {
      expect(await send('once')).toBe(ErrorKind.LinkFailed);
      expect(handled).toEqual(['first']);
    });

    it('uses a new link after the silence was noticed', async () => {
      await send('lost');
      expect(await send('once')).toBe('once');
      expect(handled).toEqual(['first', 'once']);
    });

    it('uses a new link after others had time limits too short for a probe', async () => {
      for (let count = 0; count < 6; count++) {
        await send('lost', Delivery.AtMostOnce, 60);
      }
      expect(await send('once')).toBe('once');
    });
  });

  it('states the silence and the requests that wait', async () => {
    await Promise.all([send('a'), send('b')]);
    expect(silences).toMatchObject([{ address, pending: 2 }]);
    expect(silences[0]?.silenceMs).toBeGreaterThan(0);
  });

  describe('when the peer is only slow', () => {
    beforeEach(async () => {
      await send('replaces the link', Delivery.AtLeastOnce);
      handled = [];
      silences = [];
      workMs = 700;
    });

    it('keeps the link, and sends no request twice', async () => {
      expect(await send('slow', Delivery.AtLeastOnce)).toBe('slow');
      expect(handled).toEqual(['slow']);
      expect(silences).toEqual([]);
    });
  });
});
