/**
 * The plain service stand-in. It counts executions by key, so that doubled work shows, and can be
 * slow, lose its answers after executing, or refuse before.
 */
import { type Clock, ErrorKind, type RandomSource } from '@tanagerdyke/kernel';
import { Hono } from 'hono';
import * as z from 'zod';
import { neverAnswer } from './LogStandIn.js';
import { RecordKind } from '../common/prove/Evidence.js';
import { standInProblem } from '../common/StandInError.js';
import type { RecordFile } from './RecordFile.js';

const faultsSchema = z.object({
  slowMs: z.number().default(0),
  loseAnswers: z.number().default(0),
});

interface Execution {
  readonly key: string;
  readonly attempt: string;
  readonly at: number;
}

/** Creates a plain service; `offersLookUp` makes it answer for keys. */
export function createServiceStandIn(
  clock: Clock,
  random: RandomSource,
  offersLookUp: boolean,
  records: RecordFile,
): Hono {
  const executions: Execution[] = [];
  const outcomes = new Map<string, { status: number; body: string }>();
  let faults = faultsSchema.parse({});
  const app = new Hono();
  app.get('/outcomes/:key', (context) => {
    if (!offersLookUp) {
      return standInProblem(ErrorKind.NotFound, 'no look-ups here');
    }
    const answer = outcomes.get(context.req.param('key'));
    return context.json(answer === undefined ? {} : { answer });
  });
  app.get('/admin/executions', (context) => context.json(executions));
  app.post('/admin/faults', async (context) => {
    faults = faultsSchema.parse(await context.req.json());
    return context.json(faults);
  });
  app.post('*', async (context) => {
    const body = await context.req.text();
    const key = context.req.header('idempotency-key') ?? '';
    const attempt = context.req.header('tanager-attempt') ?? '';
    records.write({ kind: RecordKind.Execution, key });
    executions.push({ key, attempt, at: clock.wallTime() });
    const answer = JSON.stringify({ confirmed: key, bytes: Buffer.byteLength(body) });
    outcomes.set(key, { status: 200, body: answer });
    await clock.sleep(faults.slowMs);
    if (random.next() < faults.loseAnswers) {
      await neverAnswer(context);
    }
    return new Response(answer, { headers: { 'content-type': 'application/json' } });
  });
  return app;
}
