/**
 * `GET /v1/addresses`: the addresses that a caller should use; also health, readiness and metrics.
 */
import type { AddressAnswer, EntryAddress } from '@tanagerdyke/contracts';
import type { Member } from '@tanagerdyke/mesh';
import type { HttpApp } from './HttpApp.js';
import type { ServedNode } from './ServedNode.js';
import { authenticateCaller } from './Authentication.js';
import { problemResponse } from './Problem.js';
import { checkAcceptsRequests } from './RequestChecks.js';

const MAX_ADDRESSES_PER_ANSWER = 6;

/** Registers the routes. */
export function registerAddressRoutes(app: HttpApp, node: ServedNode): void {
  app.get('/v1/addresses', (context) => {
    const accepting = checkAcceptsRequests(node);
    if (accepting.isErr) {
      return problemResponse(accepting.error);
    }
    const workspace = authenticateCaller(context.req.header('authorization'), node.configuration);
    if (workspace.isErr) {
      return problemResponse(workspace.error);
    }
    const zone = context.req.query('availabilityZone') ?? node.settings.node.availabilityZone;
    return context.json(selectAddresses(node, zone));
  });

  app.get('/healthz', (context) => context.text('ok\n'));

  app.get('/readyz', (context) => {
    const isReady = node.isReady && node.ledger.isReady && !node.isDraining;
    const body = {
      configuration: node.freshness.isFresh,
      claims: node.ledger.isReady,
      draining: node.isDraining,
    };
    return context.json(body, isReady ? 200 : 503);
  });

  app.get('/metrics', (context) =>
    context.text(node.metrics.render(), 200, { 'content-type': 'text/plain; version=0.0.4' }),
  );
}

/** Selects serving nodes in random order, those of the caller's availability zone first. */
function selectAddresses(node: ServedNode, zone: string): AddressAnswer {
  const shuffled = node.membership.serving
    .map((member) => ({ member, key: node.random.next() }))
    .sort((a, b) => a.key - b.key)
    .map(({ member }) => member);
  const sameZone = shuffled.filter((member) => member.availabilityZone === zone);
  const otherZones = shuffled.filter((member) => member.availabilityZone !== zone);
  return {
    addresses: [...sameZone, ...otherZones].slice(0, MAX_ADDRESSES_PER_ANSWER).map(toAddress),
    timeToLiveMs: node.configuration.set.system.addressTimeToLiveMs,
  };
}

function toAddress(member: Member): EntryAddress {
  return {
    node: member.name,
    address: member.callerAddress,
    availabilityZone: member.availabilityZone,
  };
}
