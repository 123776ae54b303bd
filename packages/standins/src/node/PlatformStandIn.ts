/** The stand-ins of the platform's host list and weight store. */
import { type Clock, ErrorKind } from '@tanagerdyke/kernel';
import { type HostState, HostStatus } from '@tanagerdyke/contracts';
import { Hono } from 'hono';
import * as z from 'zod';
import { standInProblem } from '../common/StandInError.js';

const MS_PER_MINUTE = 60_000;

const hostsSchema = z.array(
  z.object({
    name: z.string(),
    address: z.string(),
    availabilityZone: z.string(),
    status: z.enum(HostStatus),
  }),
);

/** Creates a host list that answers what was true `lagMs` ago. */
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

/** Creates a weight store that counts loads and refuses those above its rate. */
export function createWeightStoreStandIn(
  clock: Clock,
  loadsPerMinute: number,
  loadMs: number,
): Hono {
  let started: number[] = [];
  let refused = 0;
  let slowMs = 0;
  const app = new Hono();
  app.get('/rate', (context) => context.json({ loadsPerMinute }));
  app.post('/load', async (context) => {
    const now = clock.now();
    started = started.filter((at) => at > now - MS_PER_MINUTE);
    if (started.length >= loadsPerMinute) {
      refused++;
      return standInProblem(ErrorKind.RateLimited, 'too many loads');
    }
    started.push(now);
    await clock.sleep(loadMs + slowMs);
    return context.json({});
  });
  app.post('/admin/slow/:ms', (context) => {
    slowMs = Number(context.req.param('ms'));
    return context.json({});
  });
  app.get('/admin/statistics', (context) => context.json({ started: started.length, refused }));
  return app;
}
