import { defineConfig } from 'vitest/config';

// Tests run on the sources of every package, so that no stale build decides a verdict.
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
