/** Tests of the route for calls of plain services. */
import { createHash } from 'node:crypto';
import type { Service } from '@tanagerdyke/contracts';
import { ManualClock, Metrics, SeededRandom } from '@tanagerdyke/kernel';
import type { HttpBindings } from '@hono/node-server';
import { Hono } from 'hono';
import { Result } from 'true-myth';
import { describe, expect, it } from 'vitest';
import type { Node } from '../Node.js';
import { RequestTracker } from '../RequestTracker.js';
import { registerCallRoutes } from './CallRoutes.js';

const TOKEN = 'token-of-a-workspace-for-tests';
const ROUTE = {
  name: 'stock',
  path: '/stock',
  isRepeatable: true,
  services: ['service-0'],
  deadlineMs: 5_000,
};

function createNode(service: Pick<Service, 'call'>): Node {
  const workspace = {
    name: 'shop',
    routes: [ROUTE.name],
    tokenDigest: createHash('sha256').update(TOKEN).digest('hex'),
  };
  const set = {
    route: () => ROUTE,
    workspaceByTokenDigest: () => workspace,
  };
  const target = { name: 'service-0', offersLookUp: false };
  return {
    isRefusingRequests: false,
    isReady: true,
    // Monotonic clocks return fractions of a millisecond, which `AbortSignal.timeout` refuses.
    clock: new ManualClock(0.25),
    random: new SeededRandom(1),
    metrics: new Metrics(),
    requests: new RequestTracker(),
    configuration: { set },
    directory: {
      servicesOf: () => [{ target }],
      service: () => Result.ok(service),
    },
  } as unknown as Node;
}

async function post(node: Node): Promise<Response> {
  const app = new Hono<{ Bindings: HttpBindings }>();
  registerCallRoutes(app, node);
  return app.request(`/v1/routes/${ROUTE.name}/calls`, {
    method: 'POST',
    body: '{}',
    headers: { authorization: `Bearer ${TOKEN}`, 'tanager-deadline-ms': '1000.5' },
  });
}

describe('CallRoutes', () => {
  describe('a repeatable call', () => {
    it('reaches the service when the time left has a fraction of a millisecond', async () => {
      const node = createNode({
        call: () => Promise.resolve(Result.ok({ status: 200, body: '{"left":3}' })),
      });
      const response = await post(node);
      expect(response.status).toBe(200);
      expect(await response.text()).toBe('{"left":3}');
    });

    it('is no longer counted as running after the service adapter throws', async () => {
      const node = createNode({ call: () => Promise.reject(new Error('defect')) });
      await post(node);
      expect(node.requests.running).toBe(0);
    });
  });
});
