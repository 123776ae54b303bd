/** Guards against explanations that the control address does not answer as `tanagerctl` reads them. */
import { FixedMembership, memberOf } from '@tanagerdyke/fakes';
import { ManualClock, Metrics } from '@tanagerdyke/kernel';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, describe, expect, it } from 'vitest';
import { DecisionLog } from '../common/DecisionLog.js';
import { DrainingNodes } from '../common/DrainingNodes.js';
import { ControlServer } from './ControlServer.js';
import { ForwardingFixture, targetEntry, testDialect } from './ForwardingFixture.js';
import { explainRequest } from './RequestExplainer.js';

/** A port that was free a moment ago. */
async function freePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise((resolve) => server.close(resolve));
  return port;
}

describe('the control address', () => {
  let server: ControlServer;
  let url: string;

  beforeEach(async () => {
    const clock = new ManualClock();
    const fixture = new ForwardingFixture({
      clock,
      upstream: {
        send: () => {
          throw new Error('an explanation sends nothing');
        },
      },
    });
    fixture.addTarget(targetEntry('e0', 'engine', 'e0:80'));
    fixture.publishConfiguration();
    const self = memberOf('n', '127.0.0.1:1');
    const membership = new FixedMembership(self, [self]);
    server = new ControlServer({
      dialect: testDialect,
      membership,
      drainingNodes: new DrainingNodes({ clock, membership }),
      clock,
      log: new DecisionLog(clock, 'n', () => true),
      limits: { all: 10, fromAddress: 10 },
      metrics: new Metrics(),
      metricsPath: '/metrics',
      isReady: () => true,
      explain: (search) => explainRequest({ ...fixture.dependencies, node: 'n' }, search),
    });
    const address = `127.0.0.1:${await freePort()}`;
    await server.listen(address);
    url = `http://${address}/v1/operator/explain`;
  });

  afterEach(() => {
    server.dispose();
  });

  it('answers where a request would go', async () => {
    const answer = await fetch(`${url}?route=/stream/&workspace=w&prompt=5000&output=400`);
    expect(answer.status).toBe(200);
    expect(await answer.json()).toMatchObject({
      node: 'n',
      services: [
        { service: 'engine', prompt: { cells: [{ outcome: 'placed', targets: ['e0'] }] } },
      ],
    });
  });

  it('rejects a query that it can not read, with a problem document', async () => {
    const answer = await fetch(`${url}?route=/stream/&prompt=-5`);
    expect(answer.status).toBe(400);
    expect(await answer.json()).toMatchObject({ kind: 'bad-request', notRun: 'true' });
  });

  it('accepts no other method', async () => {
    const answer = await fetch(`${url}?route=/stream/`, { method: 'POST' });
    expect(answer.status).toBe(404);
  });

  it('refuses a body', async () => {
    const answer = await fetch(`${url}?route=/stream/`, { method: 'POST', body: 'x' });
    expect(answer.status).toBe(413);
  });
});
