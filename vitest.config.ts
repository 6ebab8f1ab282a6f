import { defineConfig } from 'vitest/config'

export default defineConfig({
  test: {
    include: ['**/test/**/*.test.ts'],
    exclude: ['**/node_modules/**', '**/lib/**'],
    testTimeout: 60_000,
    hookTimeout: 60_000,
    maxWorkers: 3,
  },
})
