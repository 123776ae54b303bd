/**
 * `/v1/operator`: configuration, status, time line and log namespaces, for holders of the operator
 * token.
 */
import { objectSchema, ObjectKind, type ObjectChange } from '@tanagerdyke/configuration';
import { setLogNamespaces } from '@tanagerdyke/kernel';
import type { HttpApp } from './HttpApp.js';
import * as z from 'zod';
import type { ServedNode } from './ServedNode.js';
import { authenticateOperator } from './Authentication.js';
import { problemResponse } from './Problem.js';
import { readJson } from './RequestChecks.js';

const publishSchema = z.strictObject({
  id: z.string().min(1).max(128),
  base: z.number().int(),
  upserts: z.array(objectSchema),
  removals: z.array(z.strictObject({ kind: z.enum(ObjectKind), name: z.string() })),
});
const logsSchema = z.strictObject({ namespaces: z.string().max(1_024) });

const DEFAULT_EVENT_LIMIT = 1_000;
const MAX_EVENT_LIMIT = 20_000;

/** Registers the routes. */
export function registerOperatorRoutes(
  app: HttpApp,
  node: ServedNode,
  operatorToken: string,
): void {
  app.use('/v1/operator/*', async (context, next) => {
    const allowed = authenticateOperator(context.req.header('authorization'), operatorToken);
    if (allowed.isErr) {
      return problemResponse(allowed.error);
    }
    await next();
    return undefined;
  });

  app.get('/v1/operator/configuration', (context) => {
    const { offset, set } = node.configuration.inForce;
    return context.json({ offset, digest: set.digest, objects: set.objects });
  });

  app.post('/v1/operator/configuration', async (context) => {
    const body = await readJson(context, publishSchema);
    if (body.isErr) {
      return problemResponse(body.error);
    }
    const { id, base, upserts, removals } = body.value;
    const change: ObjectChange = { upserts, removals };
    const accepted = await node.publisher.publish(id, change, base);
    return accepted.isErr ? problemResponse(accepted.error) : context.json(accepted.value);
  });

  app.get('/v1/operator/status', (context) => {
    const { self, live } = node.membership;
    const { offset, set } = node.configuration.inForce;
    return context.json({
      node: self.name,
      incarnation: self.incarnation,
      isReady: node.isReady,
      isDraining: node.isDraining,
      configuration: { offset, digest: set.digest },
      running: node.requests.running,
      violations: node.invariants.violations,
      wallTime: node.clock.wallTime(),
      members: live,
    });
  });

  app.get('/v1/operator/timeline', (context) => {
    const from = parseCount(context.req.query('from'), 0);
    const limit = Math.min(
      parseCount(context.req.query('limit'), DEFAULT_EVENT_LIMIT),
      MAX_EVENT_LIMIT,
    );
    return context.json({
      wallTime: node.clock.wallTime(),
      next: node.timeLine.nextSequence,
      events: node.timeLine.read(from, limit),
    });
  });

  app.post('/v1/operator/logs', async (context) => {
    const body = await readJson(context, logsSchema);
    if (body.isErr) {
      return problemResponse(body.error);
    }
    setLogNamespaces(body.value.namespaces);
    return context.json(body.value);
  });
}

/** Parses a non-negative integer of a query; returns `fallback` if it is absent or invalid. */
function parseCount(text: string | undefined, fallback: number): number {
  const count = Number(text ?? fallback);
  return Number.isSafeInteger(count) && count >= 0 ? count : fallback;
}
