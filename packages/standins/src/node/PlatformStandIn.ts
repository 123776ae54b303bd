/** The stand-ins of the platform's host list and weight store. */
import { type Clock, ErrorKind } from '@tanagerdyke/kernel';
import { type HostState, HostStatus } from '@tanagerdyke/contracts';
import { Hono } from 'hono';
import * as z from 'zod';
import { problemResponse } from '../common/ProblemResponse.js';

const MS_PER_MINUTE = 60_000;

const hostsSchema = z.array(
  z.object({
    name: z.string(),
    address: z.string(),
    availabilityZone: z.string(),
    status: z.enum(HostStatus),
  }),
);

/** Creates a host list that shows each change only after `lagMs`. */
export function createHostListStandIn(clock: Clock, lagMs: number): Hono {
  let visible: readonly HostState[] = [];
  const app = new Hono();
  app.get('/hosts', (context) => context.json(visible));
  app.post('/admin/hosts', async (context) => {
    const hosts = hostsSchema.parse(await context.req.json());
    clock.schedule(lagMs, () => {
      visible = hosts;
    });
    return context.json({});
  });
  return app;
}

/**
 * Creates a weight store that refuses loads above `loadsPerMinute`. Its statistics count all
 * refusals, and the loads that started in the minute before the last load request.
 */
export function createWeightStoreStandIn(
  clock: Clock,
  loadsPerMinute: number,
  loadMs: number,
): Hono {
  /** Start times of the loads of the last minute. */
  let startTimes: number[] = [];
  let refused = 0;
  let slowMs = 0;
  const app = new Hono();
  app.get('/rate', (context) => context.json({ loadsPerMinute }));
  app.post('/load', async (context) => {
    const now = clock.now();
    startTimes = startTimes.filter((at) => at > now - MS_PER_MINUTE);
    if (startTimes.length >= loadsPerMinute) {
      refused++;
      return problemResponse(
        ErrorKind.RateLimited,
        'the weight store admits no more loads in this minute',
      );
    }
    startTimes.push(now);
    await clock.sleep(loadMs + slowMs);
    return context.json({});
  });
  app.post('/admin/slow/:ms', (context) => {
    slowMs = Number(context.req.param('ms'));
    return context.json({});
  });
  app.get('/admin/statistics', (context) => context.json({ started: startTimes.length, refused }));
  return app;
}
