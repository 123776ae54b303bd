/** The HTTP interface of the platform log stand-in, with administrative routes for its faults. */
import { type Clock, ErrorKind, type RandomSource } from '@tanagerdyke/kernel';
import { type Context, Hono } from 'hono';
import * as z from 'zod';
import { type LogLimits, LogStore } from '../common/LogStore.js';
import { StandInRecordKind } from '../common/prove/Evidence.js';
import { problemResponse } from '../common/ProblemResponse.js';
import type { RecordFile } from './RecordFile.js';

export const DEFAULT_LOG_LIMITS: LogLimits = {
  retentionMs: 3_600_000,
  appendsPerSecond: 400,
  maxRecordBytes: 262_144,
};

const appendSchema = z.object({ payload: z.string() });
const faultsSchema = z.object({
  isDown: z.boolean().default(false),
  loseAnswers: z.number().default(0),
  loseRequests: z.number().default(0),
  slowMs: z.number().default(0),
});

/** Creates the HTTP application of a platform log. */
export function createLogStandIn(
  clock: Clock,
  random: RandomSource,
  limits: LogLimits,
  records: RecordFile,
): Hono {
  const store = new LogStore(clock, random, limits);
  const app = new Hono();
  app.post('/streams/:stream/records', async (context) => {
    const { payload } = appendSchema.parse(await context.req.json());
    await clock.sleep(store.faults.slowMs);
    const result = store.append(context.req.param('stream'), payload);
    if ('error' in result) {
      return problemResponse(result.error, 'the log refused the append');
    }
    if (result.offset >= 0) {
      const stream = context.req.param('stream');
      records.write({ kind: StandInRecordKind.Append, stream, offset: result.offset });
    }
    if (result.isResponseLost) {
      await withholdResponse(context);
    }
    return context.json({ offset: result.offset });
  });
  app.get('/streams/:stream/records', (context) => readRecords(context, clock, store));
  app.post('/admin/faults', async (context) => {
    store.faults = faultsSchema.parse(await context.req.json());
    return context.json(store.faults);
  });
  app.post('/admin/truncate/:stream/:offset', (context) => {
    store.truncate(context.req.param('stream'), Number(context.req.param('offset')));
    return context.json({});
  });
  app.get('/admin/statistics', (context) => context.json({ appends: store.appends }));
  return app;
}

/** Answers a long poll: waits for an append when there is nothing to return yet. */
async function readRecords(context: Context, clock: Clock, store: LogStore): Promise<Response> {
  const stream = context.req.param('stream') ?? '';
  const from = Number(context.req.query('from'));
  const limit = Number(context.req.query('limit'));
  const waitMs = Number(context.req.query('wait'));
  await clock.sleep(store.faults.slowMs);
  if (store.faults.isDown) {
    return problemResponse(ErrorKind.PlatformUnavailable, 'the log is down');
  }
  const available = store.read(stream, from, limit);
  const isEmpty = available?.records.length === 0;
  if (isEmpty && waitMs > 0) {
    await store.waitForAppend(stream, waitMs);
  }
  const page = isEmpty ? store.read(stream, from, limit) : available;
  return page === undefined
    ? problemResponse(ErrorKind.RecordsExpired, `records from ${from} have expired`)
    : context.json(page);
}

/** Leaves a request without a response until its client aborts it. */
export function withholdResponse(context: Context): Promise<void> {
  return new Promise((resolve) => {
    context.req.raw.signal.addEventListener('abort', () => {
      resolve();
    });
  });
}
