import { expect, test } from 'vitest'
import { runPlatformSoak } from '../src/platformSoak/runPlatformSoak.js'

test('a short soak of the platform programs with a fixed seed violates no guarantee', async () => {
  const { violations, trace } = await runPlatformSoak({ seed: 4242, seconds: 20, subnet: 97, maxPauseMs: 1500 })
  expect(violations, trace.join('\n')).toEqual([])
}, 150_000)
