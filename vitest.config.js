import * as config from 'vitest/config';

export default config.defineConfig({
  test: {
    include: [
      'src/**/*.test.ts',
      'platform/**/*.test.ts',
      'bench/**/*.test.ts',
      'examples/**/*.test.ts',
    ],
    pool: 'forks',
    poolOptions: { forks: { maxForks: 4 } },
    testTimeout: 60000,
    hookTimeout: 60000,
    reporters: ['default'],
  },
});
