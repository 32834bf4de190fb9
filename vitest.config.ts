import * as vitestConfig from 'vitest/config'

const resolveConfig = vitestConfig.defineConfig({
  resolve: { conditions: ['source'] },
  ssr: { resolve: { conditions: ['source'] } },
  test: {
    include: ['packages/*/__tests__/**/*.spec.ts', 'platform/__tests__/**/*.spec.ts'],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    pool: 'forks',
    maxWorkers: 4,
    // clipanion's ES modules import a folder, which Node does not resolve.
    server: { deps: { inline: ['clipanion'] } },
  },
})

export { resolveConfig as default }
