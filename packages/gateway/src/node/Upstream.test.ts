import { createServer, type Server, type Socket } from 'node:net';
import { listenOnLoopback } from '@tanagerdyke/fakes';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import type { TargetEntry } from '../common/Messages.js';
import { Upstream } from './Upstream.js';

/** More than one read of the target takes, and less than the buffers of a connection hold. */
const UNREAD_BODY_BYTES = 150_000;

/** How an exchange with a scripted target went. */
interface Transcript {
  isSent: boolean;
  status: number | undefined;
  body: string;
  ending: string;
}

describe('Upstream', () => {
  let server: Server;
  let upstream: Upstream;
  let target: TargetEntry;
  let answer: (socket: Socket) => void;
  let onData: () => void;
  let isReading: boolean;

  beforeEach(async () => {
    upstream = new Upstream();
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
      bornAt: undefined,
    };
  });

  afterEach(async () => {
    upstream.dispose();
    await new Promise((resolve) => server.close(resolve));
  });

  function exchange(bodyBytes = 0): Promise<Transcript> {
    const transcript: Transcript = { isSent: false, status: undefined, body: '', ending: '' };
    const request = { method: 'POST', path: '/', headers: [], body: Buffer.alloc(bodyBytes) };
    return new Promise((resolve) => {
      upstream.send(target, 4, request, {
        onSent: () => {
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
          resolve({ ...transcript, ending: 'complete' });
        },
        onError: () => {
          resolve({ ...transcript, ending: 'broken' });
        },
      });
    });
  }

  describe('an answer without a length', () => {
    it('is complete when the target closes the connection', async () => {
      answer = (socket) => {
        socket.end('HTTP/1.1 200 OK\r\n\r\nwhole');
      };
      expect(await exchange()).toMatchObject({ body: 'whole', ending: 'complete' });
    });

    it('is broken when the connection is reset on the way', async () => {
      // The system resets a connection that is closed with bytes left to read.
      isReading = false;
      answer = (socket) => {
        socket.write('HTTP/1.1 200 OK\r\n\r\nhal');
        onData = () => {
          socket.destroy();
        };
      };
      expect(await exchange()).toMatchObject({ isSent: true, body: 'hal', ending: 'broken' });
    });
  });

  describe('an answer without a length that is reset at once', () => {
    it('is broken though its bytes and the reset arrive together', async () => {
      answer = (socket) => {
        // A connection that is closed with bytes left to read is reset.
        socket.pause();
        socket.write('HTTP/1.1 200 OK\r\n\r\nhal');
        socket.destroy();
      };
      expect(await exchange(UNREAD_BODY_BYTES)).toMatchObject({ ending: 'broken' });
    });
  });

  describe('an answer with a length', () => {
    it('is broken when it is cut short', async () => {
      answer = (socket) => {
        socket.end('HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf');
      };
      expect(await exchange()).toMatchObject({ ending: 'broken' });
    });

    it('is broken when a chunked body lacks its end', async () => {
      answer = (socket) => {
        socket.end(
          'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n4\r\nhalf\r\n',
        );
      };
      expect(await exchange()).toMatchObject({ ending: 'broken' });
    });
  });

  describe('a target that does not listen', () => {
    it('got nothing of the request', async () => {
      await new Promise((resolve) => server.close(resolve));
      expect(await exchange()).toMatchObject({ isSent: false, ending: 'broken' });
    });
  });

  describe('a second answer after a complete one', () => {
    it('does not reach the next request', async () => {
      let requests = 0;
      answer = (socket) => {
        const reply = (text: string): string =>
          `HTTP/1.1 200 OK\r\nContent-Length: ${text.length}\r\n\r\n${text}`;
        requests++;
        socket.write(requests === 1 ? reply('first') + reply('extra') : reply('second'));
      };
      expect(await exchange()).toMatchObject({ body: 'first' });
      expect(await exchange()).toMatchObject({ body: 'second', ending: 'complete' });
    });
  });
});
