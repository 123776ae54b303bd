/**
 * Four of seven machines lose power at once, those that read the store for all. The other three keep
 * running a moved route on its old service, and a dropped key, after `config_apply_ms`.
 */
import { dirname } from 'node:path';
import { fileURLToPath } from 'node:url';
import {
  configuration,
  hasTrouble,
  now,
  play,
  send,
  Server,
  sleep,
  Store,
  System,
} from '../harness-2.mjs';

/** `config_apply_ms` of the site. */
const CONFIG_APPLY_MS = 2_000;
/** How long the machines are without power: `for_s` of herd_kill in the site file. */
const DARK_MS = 2_000;
/** From the power loss until the operator's next version. */
const VERSION_DELAY_MS = 100;
const ROUNDS = 4;
/** Time between rounds, longer than `stable_window_ms` after the restart. */
const CALM_MS = 6_000;
/** How long requests are sent after an acknowledgement. */
const WATCH_MS = 4_500;
const REQUEST_INTERVAL_MS = 20;
const ZONES = ['a', 'b', 'c', 'a', 'b', 'c', 'b'];
/** Four of seven: 57 %, less than the share of herd_kill. */
const DARK_NODES = new Set(['edge-a-1', 'edge-b-1', 'edge-c-1', 'edge-a-2']);
const SERVICES = ['west', 'east'];

await play(dirname(fileURLToPath(import.meta.url)), async (record) => {
  const store = new Store();
  await store.listen();
  const servers = [];
  for (const service of SERVICES) {
    for (const zone of ['a', 'b', 'c']) {
      const server = new Server(store, { id: `${service}-${zone}`, service, zone });
      await server.listen();
      servers.push(server);
    }
  }
  const system = new System(store, ZONES);
  let version = 1;
  const publish = (service, keys) => {
    const kind = 'non_idempotent';
    const routes = [{ name: 'orders', path_prefix: '/orders/', kind, service, max_attempts: 1 }];
    const services = SERVICES.map((name) => ({ name, max_conns: 100, slots: 6 }));
    const tenants = [{ name: 'shop', api_keys: keys }];
    store.write('keyed.op', 'config', configuration(version, { routes, services, tenants }));
    record.add(
      `version ${version} acknowledged: /orders/ goes to ${service}, keys ${keys.join(' ')}`,
    );
    version += 2;
    return now();
  };
  publish(SERVICES[0], ['kept', 'dropped-0']);
  await system.startAll();
  const survivors = system.nodes.filter(({ name }) => !DARK_NODES.has(name));
  const dark = system.nodes.filter(({ name }) => DARK_NODES.has(name));
  let breaches = 0;
  for (let round = 0; round < ROUNDS; round++) {
    await sleep(CALM_MS);
    if (hasTrouble) {
      for (const { child } of dark) {
        child.kill('SIGKILL');
      }
      record.add(`power lost: ${dark.map(({ name }) => name).join(', ')}`);
      setTimeout(() => {
        dark.forEach((node) => system.start(node));
        record.add('power is back');
      }, DARK_MS);
    }
    await sleep(VERSION_DELAY_MS);
    const [oldService, newService] = round % 2 === 0 ? SERVICES : [...SERVICES].reverse();
    const dropped = `dropped-${round}`;
    const ackedAt = publish(newService, ['kept', `dropped-${round + 1}`]);
    const results = await Promise.all(
      survivors.map((node) => watch({ system, node, round, dropped, oldService, ackedAt })),
    );
    for (const { name, byOldService, withDroppedKey, sent } of results) {
      const late = [byOldService, withDroppedKey].some(({ at }) => at > CONFIG_APPLY_MS);
      breaches += late ? 1 : 0;
      record.add(
        `round ${round}, ${name}: ${sent} requests; the last one run by ${oldService} was sent ` +
          `${byOldService.at} ms after the acknowledgement (${byOldService.attempt}), the last one run ` +
          `with key ${dropped} ${withDroppedKey.at} ms (${withDroppedKey.attempt})${late ? '  LATE' : ''}`,
      );
    }
    if (hasTrouble) {
      await Promise.all(dark.map((node) => system.awaitReady(node)));
    }
  }
  const runs = servers.map(({ id, runs: { length } }) => `${id} ${length}`).join(', ');
  record.add(`requests run by the servers: ${runs}`);
  await system.stop();
  servers.forEach((server) => server.close());
  store.close();
  return breaches > 0;
});

/** Sends requests to one machine, and returns the last ones that only an older version allows. */
async function watch({ system, node, round, dropped, oldService, ackedAt }) {
  const byOldService = { at: 0, attempt: 'none' };
  const withDroppedKey = { at: 0, attempt: 'none' };
  let sent = 0;
  while (now() - ackedAt < WATCH_MS) {
    const isDroppedKey = sent % 2 === 1;
    const attempt = `${node.name}-${round}-${sent++}`;
    const at = now() - ackedAt;
    const answer = await send({
      host: node.ip,
      port: system.ports.front,
      path: '/orders/1',
      method: 'POST',
      body: 'ricotta',
      headers: {
        Host: 'shop.example',
        'X-Attempt-Id': attempt,
        'X-Deadline-Ms': '1500',
        Authorization: `Bearer ${isDroppedKey ? dropped : 'kept'}`,
      },
    });
    const stamp = answer.headers['x-server-stamp'] ?? '';
    if (stamp.startsWith(`stamp.${oldService}-`)) {
      Object.assign(byOldService, { at, attempt });
    }
    if (isDroppedKey && stamp !== '') {
      Object.assign(withDroppedKey, { at, attempt });
    }
    await sleep(REQUEST_INTERVAL_MS);
  }
  return { name: node.name, byOldService, withDroppedKey, sent };
}
