/**
 * Runs gateway.cjs from the same folder with its cached code. A cache of another version of Node.js
 * is ignored, as is a missing one: the program then only starts more slowly.
 */
import { readFileSync } from 'node:fs';
import { createRequire } from 'node:module';
import { fileURLToPath } from 'node:url';
import { Script } from 'node:vm';

// Without a listener a signal ends the process. Those of the time in which the program loads reach its
// own listeners, which it has by the next turn of the event loop.
for (const signal of ['SIGTERM', 'SIGINT', 'SIGQUIT', 'SIGHUP', 'SIGUSR1', 'SIGUSR2']) {
  process.on(signal, () => undefined);
}

const filename = fileURLToPath(new URL('gateway.cjs', import.meta.url));

function readCache() {
  try {
    return readFileSync(`${filename}.cache`);
  } catch {
    return undefined;
  }
}

const source = `(function (exports, require, module) {${readFileSync(filename, 'utf8')}\n})`;
const script = new Script(source, { filename, cachedData: readCache() });
const module = { exports: {} };
script.runInThisContext()(module.exports, createRequire(import.meta.url), module);

export { script };
