import { defineConfig } from 'vitest/config';

// Tests use the sources of every package, so that a stale build can't affect the results.
export default defineConfig({
  resolve: {
    alias: [
      {
        find: /^@tanagerdyke\/([a-z]+)$/,
        replacement: `${import.meta.dirname}/packages/$1/src/index.ts`,
      },
    ],
  },
  test: {
    include: ['packages/*/src/**/*.test.ts', 'platform/*/*.test.ts'],
    testTimeout: 60_000,
    hookTimeout: 60_000,
  },
});
