import { createServer, type Server, type Socket } from 'node:net';
import { listenOnLoopback } from '@tanagerdyke/fakes';
import { SystemClock } from '@tanagerdyke/kernel';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { TargetEntry } from '../common/Messages.js';
import { directConnections } from './paths/DirectConnections.js';
import { Upstream } from './Upstream.js';

/** More than the target reads at once, and less than the socket buffers hold. */
const UNREAD_BODY_BYTES = 150_000;

/** Record of an exchange with a scripted target. */
interface Transcript {
  isSent: boolean;
  status: number | undefined;
  body: string;
  outcome: string;
}

describe('Upstream', () => {
  let server: Server;
  let upstream: Upstream;
  let target: TargetEntry;
  let answer: (socket: Socket) => void;
  let onData: () => void;
  let isReading: boolean;

  beforeEach(async () => {
    upstream = new Upstream(directConnections(new SystemClock()));
    onData = () => undefined;
    isReading = true;
    server = createServer((socket) => {
      socket.on('error', () => undefined);
      if (!isReading) {
        answer(socket);
        return;
      }
      socket.once('data', () => {
        answer(socket);
      });
    });
    const port = await listenOnLoopback(server);
    target = {
      id: 't1',
      service: 'app',
      address: `127.0.0.1:${port}`,
      availabilityZone: 'a',
      slots: 1,
      isDraining: false,
      startedAt: undefined,
      coldMs: 0,
    };
  });

  afterEach(async () => {
    upstream.dispose();
    await new Promise((resolve) => server.close(resolve));
  });

  function exchange(bodyBytes = 0): Promise<Transcript> {
    const transcript: Transcript = { isSent: false, status: undefined, body: '', outcome: '' };
    const body = Buffer.alloc(bodyBytes);
    const request = { method: 'POST', path: '/', headers: [], body, attemptId: 'a1' };
    return new Promise((resolve) => {
      upstream.send(target, 4, request, {
        findObstacle: () => undefined,
        onSendStart: () => {
          transcript.isSent = true;
        },
        onHead: (status) => {
          transcript.status = status;
        },
        onData: (chunk) => {
          transcript.body += chunk.toString();
          onData();
        },
        onEnd: () => {
          resolve({ ...transcript, outcome: 'complete' });
        },
        onError: () => {
          resolve({ ...transcript, outcome: 'broken' });
        },
      });
    });
  }

  describe('an answer without a length', () => {
    it('is complete when the target closes the connection', async () => {
      answer = (socket) => {
        socket.end('HTTP/1.1 200 OK\r\n\r\nwhole');
      };
      expect(await exchange()).toMatchObject({ body: 'whole', outcome: 'complete' });
    });

    it('is broken when the connection is reset before the end', async () => {
      // The kernel resets a connection that is closed with unread bytes.
      isReading = false;
      answer = (socket) => {
        socket.write('HTTP/1.1 200 OK\r\n\r\nhal');
        onData = () => {
          socket.destroy();
        };
      };
      expect(await exchange()).toMatchObject({ isSent: true, body: 'hal', outcome: 'broken' });
    });
  });

  describe('an answer without a length that is reset immediately', () => {
    it('is broken even if its bytes and the reset arrive together', async () => {
      answer = (socket) => {
        // The kernel resets a connection that is closed with unread bytes.
        socket.pause();
        socket.write('HTTP/1.1 200 OK\r\n\r\nhal');
        socket.destroy();
      };
      expect(await exchange(UNREAD_BODY_BYTES)).toMatchObject({ outcome: 'broken' });
    });
  });

  describe('an answer with a length', () => {
    it('is broken when fewer bytes arrive', async () => {
      answer = (socket) => {
        socket.end('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf');
      };
      expect(await exchange()).toMatchObject({ outcome: 'broken' });
    });

    it('is broken when a chunked body lacks its last chunk', async () => {
      answer = (socket) => {
        socket.end(
          'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n4\r\nhalf\r\n',
        );
      };
      expect(await exchange()).toMatchObject({ outcome: 'broken' });
    });
  });

  describe('a target that does not listen', () => {
    it('is reported before any byte of the request is sent', async () => {
      await new Promise((resolve) => server.close(resolve));
      expect(await exchange()).toMatchObject({ isSent: false, outcome: 'broken' });
    });
  });

  describe('a surplus answer on a connection', () => {
    it('is not taken for the answer to the next request', async () => {
      let requests = 0;
      answer = (socket) => {
        const reply = (text: string): string =>
          `HTTP/1.1 200 OK\r\nContent-Length: ${text.length}\r\n\r\n${text}`;
        requests++;
        socket.write(requests === 1 ? reply('first') + reply('extra') : reply('second'));
      };
      expect(await exchange()).toMatchObject({ body: 'first' });
      expect(await exchange()).toMatchObject({ body: 'second', outcome: 'complete' });
    });
  });
});
