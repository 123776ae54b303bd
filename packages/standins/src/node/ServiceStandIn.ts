/**
 * The plain service stand-in. Records executions by key, so that a repeated execution is detected,
 * and can be made to respond late or to lose responses after executing.
 */
import { type Clock, ErrorKind, type RandomSource } from '@tanagerdyke/kernel';
import { Hono } from 'hono';
import * as z from 'zod';
import { withholdResponse } from './LogStandIn.js';
import { StandInRecordKind } from '../common/prove/Evidence.js';
import { problemResponse } from '../common/ProblemResponse.js';
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

/** Creates the HTTP application of a service; with `offersLookUp` it returns outcomes by key. */
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
      return problemResponse(ErrorKind.NotFound, 'this service does not offer look-ups');
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
    records.write({ kind: StandInRecordKind.Execution, key });
    executions.push({ key, attempt, at: clock.wallTime() });
    const answer = JSON.stringify({ confirmed: key, bytes: Buffer.byteLength(body) });
    outcomes.set(key, { status: 200, body: answer });
    await clock.sleep(faults.slowMs);
    if (random.next() < faults.loseAnswers) {
      await withholdResponse(context);
    }
    return new Response(answer, { headers: { 'content-type': 'application/json' } });
  });
  return app;
}
