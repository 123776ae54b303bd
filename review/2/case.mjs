/**
 * Model servers lose the answers to three requests that share a part of their prompt, whose id has
 * 300 hexadecimal digits. No process may end of that, nor cut the requests of others.
 */
import { configurationOf, openChannel, run, send, sleep, withTrouble } from '../harness.mjs';

const TENANTS = [{ name: 'tenant', api_keys: ['key'] }];
const ENGINES = 10;
/** Part of the servers that lose answers, at most. */
const SHARE = 0.6;
/** Part of the answers that they lose, at most. */
const LOST = 0.4;
const ORDINARY = 40;
/** Time for which the processes are observed afterwards. */
const OBSERVED_MS = 40_000;
const PART = 'ab'.repeat(150);

/** Returns whether the rule was broken. */
async function play(world) {
  const { ends, nodes, record, runs } = world;
  const [first] = nodes;
  const ask = (attempt, part) => {
    const prefix = `X-Prompt-Prefix: ${part}:40,${Buffer.from(attempt).toString('hex')}:1900`;
    const headers = ['X-Model: m', 'X-Token-Usage: 1940,100', prefix];
    return send(
      first,
      { attempt, path: '/ask/1', key: 'key', headers, deadlineMs: 10_000 },
      record,
    );
  };
  const losing = new Set();
  let lost = 0;
  world.losesAnswer = ({ headers, server }) => {
    const isLosing = losing.has(server) || losing.size < Math.floor(ENGINES * SHARE);
    const loses = withTrouble && isLosing && headers['x-prompt-prefix'].startsWith(PART);
    if (loses) {
      losing.add(server);
      lost++;
      record.write(`answer    of ${server} to ${headers['x-attempt-id']} is lost`);
    }
    return loses;
  };
  for (let at = 0; at < ORDINARY; at++) {
    await Promise.all([ask(`other-${at + 1}`, 'c0ffee'), sleep(20)]);
  }
  // Calls of others on kept channels, at work at a sound server while the answers are lost.
  const channels = nodes.flatMap((node, at) =>
    [1, 2, 3, 4, 5].map((each) => ({ ask: openChannel(node, record), id: `${at + 1}-${each}` })),
  );
  const place = (attempt, path) => ({ attempt, path, key: 'key', deadlineMs: 6_000 });
  await Promise.all(
    channels.map((channel) => channel.ask(place(`first-${channel.id}`, '/check/1'))),
  );
  const calls = channels.map((channel) =>
    channel.ask(place(`call-${channel.id}`, '/confirm/work-3000')),
  );
  await sleep(300);
  for (const attempt of ['long-1', 'long-2', 'long-3']) {
    await ask(attempt, PART);
    await sleep(300);
  }
  const cut = (await Promise.all(calls)).filter(
    ({ attempt, status }) => status === 0 && runs.some((each) => each.attempt === attempt),
  );
  const ofThese = runs.filter(({ server }) => losing.has(server)).length;
  record.write(`${losing.size} of ${ENGINES} servers lost ${lost} of ${ofThese} answers`);
  if (losing.size > ENGINES * SHARE || lost > ofThese * LOST) {
    throw new Error('more answers were lost than the pages allow');
  }
  await sleep(OBSERVED_MS);
  const counts = nodes.map(({ name }) => ends.filter((end) => end.name === name).length);
  record.write(`ends of processes by themselves, by machine: ${counts.join(', ')}`);
  record.write(`${cut.length} calls were passed on from kept channels and got no answer`);
  const machines = counts.filter((count) => count >= 3).length;
  return cut.length > 3 || machines >= 2;
}

const zones = ['zone-a', 'zone-b', 'zone-c'];
const configuration = configurationOf(1, TENANTS);
await run(import.meta.url, { zones, configuration, engines: ENGINES }, play);
