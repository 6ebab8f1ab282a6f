import { expect, test } from 'vitest'
import { createElapsedClock } from '../src/index.js'

function clockAt (): { set: (monotonic: number, wall: number) => void, read: () => number } {
  let monotonic = 0
  let wall = 1_000_000
  const read = createElapsedClock({ monotonic: () => monotonic, wall: () => wall })
  return { set (m, w) { monotonic = m; wall = w }, read }
}

test('a suspension that the monotonic clock does not count is counted', () => {
  const clock = clockAt()
  clock.set(10, 1_003_010)
  expect(clock.read()).toBe(3010)
  clock.set(20, 1_003_020)
  expect(clock.read()).toBe(3020)
})

test('a step back of the time of day takes nothing off, and the step forward again ends leases early', () => {
  const clock = clockAt()
  clock.set(10, 998_000)
  expect(clock.read()).toBe(10)
  clock.set(20, 1_000_020)
  expect(clock.read()).toBeGreaterThanOrEqual(20)
})

test('drift of a few ms is no suspension', () => {
  const clock = clockAt()
  clock.set(1000, 1_001_020)
  expect(clock.read()).toBe(1000)
})
