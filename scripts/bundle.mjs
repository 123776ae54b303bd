/**
 * Bundles the program of the platform adapter into target/gateway.cjs, which target/gateway.mjs
 * loads. Without the bundle, a process that restarts on a small host needs most of a second to read
 * some hundred files of the packages. The compiled code is cached beside it, which takes a third off
 * the processor time of a start.
 */
import { execFileSync } from 'node:child_process';
import { copyFileSync, renameSync } from 'node:fs';
import { resolve } from 'node:path';
import { build } from 'esbuild';

/** Excludes code that the program never calls, but that would be compiled or run at each start. */
const leanStart = {
  name: 'lean-start',
  setup: (build) => {
    // Matches only the entry of undici, because the replacement imports single files of it.
    build.onResolve({ filter: /^undici$/ }, () => ({ path: resolve('scripts/undiciClient.mjs') }));
    // The unused readers and writers of histogram logs compile their formats when they are loaded.
    build.onLoad({ filter: /hdr-histogram-js.dist.HistogramLog(Reader|Writer)\.js$/ }, () => ({
      contents: 'exports.default = undefined; exports.listTags = undefined;',
    }));
  },
};

/** Renamed at the end, as tests bundle side by side and start processes meanwhile. */
const UNFINISHED = `target/gateway.${process.pid}.cjs`;

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: UNFINISHED,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  minifyWhitespace: true,
  sourcemap: false,
  conditions: ['node', 'import'],
  alias: Object.fromEntries(
    ['kernel', 'mesh', 'gateway'].map((name) => [
      `@tanagerdyke/${name}`,
      `./packages/${name}/src/index.ts`,
    ]),
  ),
  plugins: [leanStart],
});

renameSync(UNFINISHED, 'target/gateway.cjs');
copyFileSync('scripts/gatewayLoader.mjs', 'target/gateway.mjs');
execFileSync(process.execPath, ['scripts/writeCodeCache.mjs']);
