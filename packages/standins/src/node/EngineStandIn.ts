/** The HTTP interface of the model engine stand-in. */
import { type Clock, ErrorKind, type RandomSource } from '@tanagerdyke/kernel';
import {
  type EngineFrame,
  type EngineOrder,
  type EngineRequest,
  type HeldItem,
  OrderKind,
} from '@tanagerdyke/contracts';
import { type Context, Hono } from 'hono';
import { stream } from 'hono/streaming';
import { request } from 'undici';
import {
  EngineEmulator,
  type EngineProfile,
  type EngineRefusal,
} from '../common/EngineEmulator.js';
import { StandInRecordKind } from '../common/prove/Evidence.js';
import { problemResponse } from '../common/ProblemResponse.js';
import type { RecordFile } from './RecordFile.js';

const HTTP_OK = 200;

/** Creates the HTTP application of an engine that loads versions from the address `weightStore`. */
export function createEngineStandIn(
  clock: Clock,
  random: RandomSource,
  profile: EngineProfile,
  weightStore: string,
  records: RecordFile,
): Hono {
  const emulator = new EngineEmulator(clock, random.identifier(), profile);
  const app = new Hono();
  app.post('/generate', async (context) => {
    const engineRequest: EngineRequest = await context.req.json();
    const prompt = engineRequest.prompt.at(-1)?.digest ?? '';
    records.write({ kind: StandInRecordKind.Attempt, prompt });
    return startStream(context, emulator, engineRequest);
  });
  app.get('/load', (context) => context.json(emulator.load));
  app.get('/held', (context) => context.json(emulator.held));
  app.get('/cache-events', (context) =>
    context.json(emulator.cacheEvents(Number(context.req.query('from') ?? 0))),
  );
  app.post('/hold', async (context) => {
    const item: HeldItem = await context.req.json();
    records.write({ kind: StandInRecordKind.Hold });
    return toResponse(emulator.hold(item));
  });
  app.post('/free', async (context) => {
    const { identifiers } = await context.req.json<{ identifiers: string[] }>();
    emulator.free(identifiers);
    return toResponse(undefined);
  });
  app.post('/export', async (context) => {
    const { identifier, item } = await context.req.json<{ identifier: string; item: HeldItem }>();
    return toResponse(emulator.export(identifier, item));
  });
  app.get('/exports/:id', (context) =>
    emulator.hasExport(context.req.param('id'))
      ? toResponse(undefined)
      : problemResponse(ErrorKind.NotFound, 'the export does not exist'),
  );
  app.post('/import', async (context) => {
    const body = await context.req.json<{ source: string; exportId: string; item: HeldItem }>();
    const { statusCode } = await request(`${body.source}/exports/${body.exportId}`);
    return statusCode === HTTP_OK
      ? toResponse(emulator.hold(body.item))
      : problemResponse(ErrorKind.NotFound, 'the source engine no longer has the export');
  });
  app.post('/order', async (context) => {
    const order: EngineOrder = await context.req.json();
    return executeOrder(emulator, order, weightStore);
  });
  app.post('/admin/leaving', (context) => {
    emulator.isLeaving = true;
    return context.json({});
  });
  app.post('/admin/staying', (context) => {
    emulator.isLeaving = false;
    return context.json({});
  });
  app.get('/admin/attempts', (context) => context.json(emulator.attempts));
  app.get('/admin/used', (context) => context.json({ usedTokens: emulator.usedTokens }));
  app.get('/admin/prefill', (context) => context.json(emulator.prefillCounts));
  return app;
}

/** Streams the frames of a request as lines of JSON; a client that disconnects cancels it. */
function startStream(
  context: Context,
  emulator: EngineEmulator,
  engineRequest: EngineRequest,
): Response {
  const queue = new FrameQueue();
  const refusal = emulator.generate(engineRequest, (frame) => {
    queue.push(frame);
  });
  if (refusal !== undefined) {
    return problemResponse(refusal.kind, refusal.detail);
  }
  return stream(context, async (output) => {
    output.onAbort(() => {
      emulator.free([engineRequest.id]);
      queue.push(undefined);
    });
    for (let frame = await queue.next(); frame !== undefined; frame = await queue.next()) {
      await output.write(`${JSON.stringify(frame)}\n`);
      if (frame.isLast) {
        return;
      }
    }
  });
}

/** Checks the fencing number, fetches the weights if the order loads a version, and applies it. */
async function executeOrder(
  emulator: EngineEmulator,
  order: EngineOrder,
  weightStore: string,
): Promise<Response> {
  const refusal = emulator.checkFencing(order);
  if (refusal !== undefined) {
    return toResponse(refusal);
  }
  if (order.kind === OrderKind.LoadVersion) {
    const { statusCode } = await request(`${weightStore}/load`, { method: 'POST' });
    if (statusCode !== HTTP_OK) {
      return problemResponse(ErrorKind.RateLimited, 'the weight store refused the load');
    }
  }
  emulator.applyOrder(order);
  return toResponse(undefined);
}

/** An empty response, or the error response of a refusal. */
function toResponse(refusal: EngineRefusal | undefined): Response {
  return refusal === undefined ? Response.json({}) : problemResponse(refusal.kind, refusal.detail);
}

/** Buffers frames of the engine until the connection can write them. */
class FrameQueue {
  private readonly _frames: (EngineFrame | undefined)[] = [];
  private _notifyReader: (() => void) | undefined;

  public push(frame: EngineFrame | undefined): void {
    this._frames.push(frame);
    this._notifyReader?.();
  }

  public async next(): Promise<EngineFrame | undefined> {
    while (this._frames.length === 0) {
      await new Promise<void>((resolve) => {
        this._notifyReader = resolve;
      });
    }
    return this._frames.shift();
  }
}
