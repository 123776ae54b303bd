/** Tests of the orders that bring engines to the configuration in force. */
import {
  type ConfigurationObject,
  objectSchema,
  ObjectKind,
  ObjectSet,
  TargetKind,
} from '@tanagerdyke/configuration';
import { type LoadReport, OrderKind } from '@tanagerdyke/contracts';
import { describe, expect, it } from 'vitest';
import { enginesOfModel, planOrders } from './OrderPlan.js';

const ENGINES = ['e1', 'e2', 'e3', 'e4'];
const REPLICAS = 3;

function version(name: string): ConfigurationObject {
  return objectSchema.parse({ kind: ObjectKind.Version, name, model: 'm', replicas: REPLICAS });
}

function host(engine: string, versions: readonly string[]): ConfigurationObject {
  const target = {
    name: engine,
    kind: TargetKind.Engine,
    adapter: 'http',
    address: 'http://127.0.0.1:1',
  };
  const place = { region: 'r', availabilityZone: 'z', targets: [{ ...target, versions }] };
  return objectSchema.parse({ kind: ObjectKind.Host, name: `h-${engine}`, ...place });
}

/** A set in which the route and all engines refer to the new version only. */
function configuredForNewVersion(): ObjectSet {
  const versions = [{ version: 'new', weight: 100 }];
  return ObjectSet.of([
    objectSchema.parse({ kind: ObjectKind.Model, name: 'm', maxPromptTokens: 1_000 }),
    version('old'),
    version('new'),
    objectSchema.parse({ kind: ObjectKind.Route, name: 'q', versions }),
    ...ENGINES.map((engine) => host(engine, ['new'])),
  ]);
}

function report(versions: readonly string[]): LoadReport {
  const load = { running: 0, queued: 0, queuedPrefillTokens: 0, leaving: false };
  return { incarnation: 'i', ...load, memoryTokens: 1, memoryUsedTokens: 0, versions };
}

/** Kinds and engines of the orders while the first `count` engines have the new version loaded. */
function ordersAt(count: number): readonly string[] {
  const set = configuredForNewVersion();
  const loaded = (index: number): readonly string[] => (index < count ? ['old', 'new'] : ['old']);
  const reports = new Map(ENGINES.map((name, index) => [name, report(loaded(index))]));
  const planned = planOrders(set, 'm', enginesOfModel(set, 'm', 'r'), reports);
  return planned.map(({ order, hostedTarget }) => `${order.kind} ${hostedTarget.target.name}`);
}

describe('OrderPlan', () => {
  describe('planOrders', () => {
    it('loads the new version on all engines that should have it', () => {
      expect(ordersAt(0)).toEqual(ENGINES.map((name) => `${OrderKind.LoadVersion} ${name}`));
    });

    it.each([1, 2])('unloads nothing while only %i engines have the new version', (count) => {
      expect(ordersAt(count).filter((each) => each.startsWith(OrderKind.UnloadVersion))).toEqual(
        [],
      );
    });

    it('unloads the old version once enough engines have the new one', () => {
      const unloads = ordersAt(3).filter((each) => each.startsWith(OrderKind.UnloadVersion));
      expect(unloads).toEqual(
        ['e1', 'e2', 'e3'].map((name) => `${OrderKind.UnloadVersion} ${name}`),
      );
    });
  });
});
