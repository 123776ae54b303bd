/**
 * Bundles the platform's program into one file below target/. Reading some hundred files of the
 * packages takes a restarted process most of a second on a small host.
 */
import { build } from 'esbuild';

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/gateway.mjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'esm',
  minifySyntax: true,
  sourcemap: false,
  conditions: ['node', 'import'],
  alias: Object.fromEntries(
    ['kernel', 'mesh', 'gateway'].map((name) => [
      `@tanagerdyke/${name}`,
      `./packages/${name}/src/index.ts`,
    ]),
  ),
  // CommonJS dependencies call require for Node's own modules.
  banner: {
    js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
  },
});
