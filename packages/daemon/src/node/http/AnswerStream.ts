/**
 * Writes a completion as server-sent events. A client that stops reading would keep its request,
 * and the engine resources it occupies, without limit; its connection is therefore destroyed some
 * time after the deadline.
 */
import type { CompletionChunk, CompletionEnd, EngineFrame } from '@tanagerdyke/contracts';
import type { ServiceError } from '@tanagerdyke/kernel';
import type { SSEStreamingApi } from 'hono/streaming';
import { Result } from 'true-myth';
import type { FrameSource } from './FrameSource.js';
import type { HttpContext } from './HttpApp.js';
import { toProblem } from './Problem.js';
import type { ServedNode } from './ServedNode.js';

/** Time after the deadline until the connection of a client that doesn't read is destroyed. */
const STALL_GRACE_MS = 1_000;

/** Writes the frames of one completion to the client. */
export class AnswerStream {
  private readonly _disconnect = new AbortController();
  private _sequence = 0;

  constructor(
    private readonly _node: ServedNode,
    private readonly _context: HttpContext,
    private readonly _stream: SSEStreamingApi,
    private readonly _frames: FrameSource,
  ) {
    _stream.onAbort(() => {
      this._disconnect.abort();
      _frames.cancel();
    });
  }

  /** Writes events until the last frame, an error or the disconnection of the client. */
  public async write(first: EngineFrame): Promise<void> {
    const { clock } = this._node;
    const remainingMs = this._frames.request.deadline - clock.now() + STALL_GRACE_MS;
    const timer = clock.schedule(remainingMs, () => {
      this._closeStalledConnection();
    });
    let frame: Result<EngineFrame, ServiceError> = Result.ok(first);
    while (frame.isOk && !this._disconnect.signal.aborted) {
      await this._writeFrame(frame.value);
      if (frame.value.isLast) {
        break;
      }
      frame = await this._frames.next();
    }
    if (frame.isErr) {
      await this._send('error', toProblem(frame.error));
    }
    timer.dispose();
  }

  private async _writeFrame(frame: EngineFrame): Promise<void> {
    const { position, tokens } = frame;
    const { id } = this._frames.request;
    if (tokens.length > 0) {
      const chunk: CompletionChunk = { request: id, sequence: this._sequence, position, tokens };
      await this._send('tokens', chunk);
      this._sequence++;
    }
    if (frame.isLast) {
      await this._send('end', toCompletionEnd(id, this._sequence, frame));
    }
  }

  /** Resolves when the event has been written or the client has disconnected. */
  private _send(event: string, data: object): Promise<void> {
    return new Promise((resolve, reject) => {
      const { signal } = this._disconnect;
      const onDisconnect = (): void => {
        resolve();
      };
      if (signal.aborted) {
        onDisconnect();
        return;
      }
      signal.addEventListener('abort', onDisconnect, { once: true });
      const written = this._stream.writeSSE({ event, data: JSON.stringify(data) });
      written.then(resolve, reject).finally(() => {
        signal.removeEventListener('abort', onDisconnect);
      });
    });
  }

  private _closeStalledConnection(): void {
    this._node.timeLine.record('completion.stalled', { request: this._frames.request.id });
    this._frames.cancel();
    this._disconnect.abort();
    this._context.env.outgoing.destroy();
  }
}

/** The end event of an answer. */
export function toCompletionEnd(
  request: string,
  sequence: number,
  last: EngineFrame,
): CompletionEnd {
  const count = last.position + last.tokens.length;
  return { request, sequence, count, digest: last.digest ?? '' };
}
