import { describe, expect, it } from 'vitest';
import { isIpv4SocketAddress, parseSocketAddress } from './SocketAddresses.js';

describe('parseSocketAddress', () => {
  it('returns the host and the port', () => {
    expect(parseSocketAddress('10.0.0.1:8080')).toEqual({ host: '10.0.0.1', port: 8_080 });
    expect(parseSocketAddress('node-1.example:65535')).toEqual({
      host: 'node-1.example',
      port: 65_535,
    });
  });

  it.each(['', 'nowhere', ':80', 'a:', 'a:0', 'a:65536', 'a:-1', 'a:8.5', 'a:1e3', 'a:80 '])(
    'returns undefined for %j',
    (text) => {
      expect(parseSocketAddress(text)).toBeUndefined();
    },
  );
});

describe('isIpv4SocketAddress', () => {
  it.each(['10.0.0.1:8080', '0.0.0.0:1', '255.249.199.9:65535'])('accepts %s', (text) => {
    expect(isIpv4SocketAddress(text)).toBe(true);
  });

  it.each([
    '256.0.0.1:80',
    '999.999.1.1:80',
    '10.0.0:80',
    '01.0.0.1:80',
    '10.0.0.1.2:80',
    '10.0.0.1.:80',
    'host:80',
    '10.0.0.1:99999',
  ])('rejects %s', (text) => {
    expect(isIpv4SocketAddress(text)).toBe(false);
  });
});
