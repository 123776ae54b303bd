/**
 * Bundles the platform's program into one file below target/. Reading some hundred files of the
 * packages takes a restarted process most of a second on a small host.
 */
import { resolve } from 'node:path';
import { build } from 'esbuild';

/** Leaves out what the program never calls, but what would run or be compiled at each start. */
const leanStart = {
  name: 'lean-start',
  setup: (build) => {
    // Only the entry of undici, not its single files, which the replacement imports.
    build.onResolve({ filter: /^undici$/ }, () => ({ path: resolve('scripts/undiciClient.mjs') }));
    // Readers and writers of histogram files compile their formats when they are loaded.
    build.onLoad({ filter: /hdr-histogram-js.dist.HistogramLog(Reader|Writer)\.js$/ }, () => ({
      contents: 'exports.default = undefined; exports.listTags = undefined;',
    }));
  },
};

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/gateway.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
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
  // CommonJS dependencies call require for Node's own modules.
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
});
