import { SystemClock } from '@tanagerdyke/kernel';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { Delivery } from '../common/services/Services.js';
import { SocketTransport } from './SocketTransport.js';

const TIMEOUT_MS = 1_000;
const ODD_ADDRESSES = ['127.0.0.1:99999', '127.0.0.1:-1', '127.0.0.1', 'nowhere', '', ':', '::1'];

describe('SocketTransport', () => {
  let transport: SocketTransport;

  beforeEach(async () => {
    const counter = { count: () => undefined };
    transport = await SocketTransport.listen(new SystemClock(), '127.0.0.1', 0, counter);
  });

  afterEach(() => {
    transport.dispose();
  });

  describe.each(ODD_ADDRESSES)('for the odd address %j', (address) => {
    it.each(Object.values(Delivery))('returns an error to a request, %s', async (delivery) => {
      const response = await transport.request(address, 'method', {}, TIMEOUT_MS, delivery);
      expect(response.isErr).toBe(true);
    });

    it('drops a datagram', () => {
      expect(() => {
        transport.sendDatagram(address, 'payload');
      }).not.toThrow();
    });
  });
});
