/** Answers that end within their head, for tests of those that read them. Not shipped. */
import { createServer, type Socket } from 'node:net';
import { SystemClock } from '@tanagerdyke/kernel';
import { closeServer, listenOnLoopback } from './Loopback.js';

const STATUS_LINE = 'HTTP/1.1 200 OK\r\n';

/** What a target sends before the connection ends, by where the head breaks off. */
export const BROKEN_HEADS: readonly (readonly [where: string, head: string])[] = [
  ['within the status line', 'HTTP/1.1 200 O'],
  ['behind the status line', STATUS_LINE],
  ['within the name of a header', `${STATUS_LINE}Attempt: a1\r\nContent-Le`],
  ['within a length', `${STATUS_LINE}Attempt: a1\r\nContent-Length: 1`],
  ['behind a length', `${STATUS_LINE}Attempt: a1\r\nContent-Length: 123\r`],
  ['behind the last header', `${STATUS_LINE}Attempt: a1\r\nContent-Length: 123\r\n`],
  ['within the empty line', `${STATUS_LINE}Attempt: a1\r\nContent-Length: 123\r\n\r`],
  ['behind a length of 0', `${STATUS_LINE}Attempt: a1\r\nContent-Length: 0\r\n`],
  ['within an encoding', `${STATUS_LINE}Attempt: a1\r\nTransfer-Encoding: chun`],
  ['behind an encoding', `${STATUS_LINE}Attempt: a1\r\nTransfer-Encoding: chunked\r\n`],
  ['of a connection that ends with it', `${STATUS_LINE}Attempt: a1\r\nConnection: close\r\n`],
  ['without a length', `${STATUS_LINE}Attempt: a1\r\nContent-Type: text/event-stream\r\n`],
  ['of status 204', 'HTTP/1.1 204 No Content\r\nAttempt: a1\r\n'],
  ['of HTTP/1.0', 'HTTP/1.0 200 OK\r\nAttempt: a1\r\n'],
  [
    'behind early hints',
    `HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n${STATUS_LINE}Attempt: a1\r\n`,
  ],
];

/** Time in which the head arrives before the connection is reset. */
const RESET_DELAY_MS = 10;

/** Sends a head and ends the connection. */
export type BrokenHeadEnding = (socket: Socket, head: string) => void;

/** How the connection ends behind the head. */
export const BROKEN_HEAD_ENDINGS: readonly (readonly [how: string, end: BrokenHeadEnding])[] = [
  [
    'is closed',
    (socket, head) => {
      socket.end(head);
    },
  ],
  [
    'is reset',
    (socket, head) => {
      socket.write(head);
      new SystemClock().schedule(RESET_DELAY_MS, () => socket.resetAndDestroy());
    },
  ],
];

/** Runs a call of a server that answers the first bytes on each connection with a broken head. */
export async function withBrokenHead<T>(
  head: string,
  end: BrokenHeadEnding,
  call: (address: string) => Promise<T>,
): Promise<T> {
  const server = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      end(socket, head);
    });
  });
  try {
    return await call(`127.0.0.1:${await listenOnLoopback(server)}`);
  } finally {
    await closeServer(server);
  }
}
