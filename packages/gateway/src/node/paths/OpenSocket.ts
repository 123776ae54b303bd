/** Opens TCP connections to targets and nodes, with a time limit. */
import { connect, type Socket } from 'node:net';
import { type Clock, isIpv4SocketAddress, parseSocketAddress } from '@tanagerdyke/kernel';
import { Result } from 'true-myth';

/** Where to connect to, and for how long to try. */
export interface SocketRequest {
  /** `IP:port`. */
  readonly address: string;
  readonly timeoutMs: number;
  /** Ends the attempt. */
  readonly signal: AbortSignal;
}

/**
 * Resolves with a connected socket without listeners for errors, or the text of the cause. Never
 * rejects: addresses come from outside.
 */
export function openSocket(
  clock: Clock,
  { address, signal, timeoutMs }: SocketRequest,
): Promise<Result<Socket, string>> {
  return new Promise((resolve) => {
    if (signal.aborted) {
      resolve(Result.err('aborted'));
      return;
    }
    const parsed = isIpv4SocketAddress(address) ? parseSocketAddress(address) : undefined;
    if (parsed === undefined) {
      resolve(Result.err(`no address to connect to: ${JSON.stringify(address)}`));
      return;
    }
    const socket = connect({ ...parsed, noDelay: true });
    const finish = (result: Result<Socket, string>): void => {
      timer.dispose();
      signal.removeEventListener('abort', onAbort);
      socket.removeListener('error', onError);
      socket.removeListener('connect', onConnect);
      if (result.isErr) {
        socket.on('error', () => undefined);
        socket.destroy();
      }
      resolve(result);
    };
    const onError = (cause: Error): void => {
      finish(Result.err(cause.message));
    };
    const onConnect = (): void => {
      finish(Result.ok(socket));
    };
    const onAbort = (): void => {
      finish(Result.err('aborted'));
    };
    const timer = clock.schedule(timeoutMs, () => {
      finish(Result.err(`no connection to ${address} within ${timeoutMs} ms`));
    });
    signal.addEventListener('abort', onAbort, { once: true });
    socket.once('error', onError);
    socket.once('connect', onConnect);
  });
}

/**
 * Makes a reset of the connection an error. For an answer without a length two lower layers mistake
 * a reset for the regular end: undici, which checks for the error code ECONNRESET, and libuv, which
 * reports the end of the stream if a hang-up follows a partial read. Against the first, error codes
 * get a prefix; the second is detected by the remote address, which a socket lacks after a reset.
 */
export function detectResets(socket: Socket): void {
  socket.prependListener('error', (cause: NodeJS.ErrnoException) => {
    cause.code = `TARGET_${cause.code ?? 'FAILED'}`;
  });
  const emit = socket.emit.bind(socket) as (event: string, ...values: unknown[]) => boolean;
  socket.emit = (event: string, ...values: unknown[]): boolean => {
    if (event === 'end' && socket.remoteAddress === undefined) {
      socket.destroy(new Error('the target reset the connection'));
      return true;
    }
    return emit(event, ...values);
  };
}

/** Reads one line without its end; the bytes behind it stay in the socket. */
export function readLine(socket: Socket, maxBytes: number): Promise<Result<string, string>> {
  return new Promise((resolve) => {
    let received = Buffer.alloc(0);
    const finish = (result: Result<string, string>): void => {
      socket.removeListener('data', onData);
      socket.removeListener('error', onError);
      socket.removeListener('close', onClose);
      resolve(result);
    };
    const onData = (chunk: Buffer): void => {
      received = Buffer.concat([received, chunk]);
      const end = received.indexOf('\n');
      if (end !== -1) {
        socket.pause();
        const rest = received.subarray(end + 1);
        if (rest.length > 0) {
          socket.unshift(rest);
        }
        finish(Result.ok(received.subarray(0, end).toString('utf8')));
      } else if (received.length > maxBytes) {
        finish(Result.err('the line is too long'));
      }
    };
    const onError = (cause: Error): void => {
      finish(Result.err(cause.message));
    };
    const onClose = (): void => {
      finish(Result.err('the connection closed'));
    };
    socket.on('data', onData);
    socket.once('error', onError);
    socket.once('close', onClose);
  });
}
