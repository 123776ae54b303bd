/**
 * The operator takes the keys of all tenants away, one after the other. A request with a key that
 * the configuration in force does not hold must not run.
 */
import { configurationOf, run, send, sleep, withTrouble } from '../harness.mjs';

const NAMES = ['tenant-1', 'tenant-2', 'tenant-3'];
/** As in the `revoke` of the site file with the most keys. */
const GAP_MS = 100;
const CONFIG_APPLY_MS = 2_000;
const UNAUTHORIZED = 401;

function tenants(withdrawn) {
  return NAMES.map((name, at) => ({ name, api_keys: at < withdrawn ? [] : [`key-of-${name}`] }));
}

/** Returns whether the rule was broken. */
async function play(world) {
  const { nodes, record, runs } = world;
  const place = (attempt, node, key) =>
    send(node, { attempt, path: '/confirm/1', key, parts: [{ text: 'deposit' }] }, record);
  const before = await Promise.all(
    NAMES.map((name, at) => place(`before-${at + 1}`, nodes[at], `key-of-${name}`)),
  );
  const unknownBefore = await place('unknown-before', nodes[0], 'never-given-out');
  if (before.some(({ status }) => status !== 200) || unknownBefore.status !== UNAUTHORIZED) {
    throw new Error('the deployment does not serve as it should before the change');
  }
  // Without the disruption, the last key stays.
  const count = withTrouble ? NAMES.length : NAMES.length - 1;
  for (let withdrawn = 1; withdrawn <= count; withdrawn++) {
    world.configure(configurationOf(1 + withdrawn, tenants(withdrawn)));
    await sleep(GAP_MS);
  }
  await sleep(CONFIG_APPLY_MS + 1_000);
  const sent = [];
  for (const [at, node] of nodes.entries()) {
    for (const name of NAMES.slice(0, count)) {
      sent.push(place(`withdrawn-${sent.length + 1}`, node, `key-of-${name}`));
    }
    sent.push(place(`unknown-${at + 1}`, node, 'never-given-out'));
  }
  await Promise.all(sent);
  const ran = runs.filter(({ attempt }) => /^(withdrawn|unknown)-/.test(attempt));
  record.write(
    `${sent.length} requests with keys that are not in force, of which ${ran.length} ran`,
  );
  return ran.length > 0;
}

const zones = ['zone-a', 'zone-b', 'zone-c'];
await run(import.meta.url, { zones, configuration: configurationOf(1, tenants(0)) }, play);
