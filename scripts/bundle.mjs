/**
 * Bundles the program of the platform adapter into target/gateway.mjs. Without the bundle, a
 * process that restarts on a small host needs most of a second to read some hundred files of the
 * packages.
 */
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
  // CommonJS dependencies call `require` for built-in modules of Node.
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
});
