import { expect, test } from 'vitest'
import { createElapsedClock } from '../src/index.js'

function createTestClock (): { set: (monotonic: number, wall: number) => void, read: () => number } {
  let monotonic = 0
  let wall = 1_000_000
  const read = createElapsedClock({ monotonic: () => monotonic, wall: () => wall })
  return { set (nextMonotonic, nextWall) { monotonic = nextMonotonic; wall = nextWall }, read }
}

test('time in which only the wall clock advances is counted as a suspension', () => {
  const clock = createTestClock()
  clock.set(10, 1_003_010)
  expect(clock.read()).toBe(3010)
  clock.set(20, 1_003_020)
  expect(clock.read()).toBe(3020)
})

test('a backward step of the wall clock subtracts no elapsed time, and the forward step that corrects it can only add some', () => {
  const clock = createTestClock()
  clock.set(10, 998_000)
  expect(clock.read()).toBe(10)
  clock.set(20, 1_000_020)
  expect(clock.read()).toBeGreaterThanOrEqual(20)
})

test('clock drift of a few milliseconds is not counted as a suspension', () => {
  const clock = createTestClock()
  clock.set(1000, 1_001_020)
  expect(clock.read()).toBe(1000)
})
