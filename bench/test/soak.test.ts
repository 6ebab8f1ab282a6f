import { expect, test } from 'vitest'
import { runSoak } from '../src/runSoak.js'

test('a short soak test with a fixed seed violates no guarantee', async () => {
  const result = await runSoak({ seed: 4242, seconds: 25, proxies: 5, databases: 2, ratePerSecond: 80, maxPauseMs: 1500 })
  expect(result.broken, result.trace.join('\n')).toEqual([])
}, 150_000)
