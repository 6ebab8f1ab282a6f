import { expect, test } from 'vitest'
import fc from 'fast-check'
import { createReturnSchedule, type RefusedRequest } from '../src/index.js'

const SLOTS = 4
const COST_MS = 10
const MAX_MS = 3000
const WINDOW_MS = 100
/** Requests that the slots can serve in a window. */
const SERVED_PER_WINDOW = WINDOW_MS / COST_MS * SLOTS
const PROPERTY = { seed: 20261204, numRuns: 300, endOnFailure: true }

const REFUSED: RefusedRequest = { rank: 1, costMs: COST_MS, roomInMs: 50, maxMs: MAX_MS }
const refused = (change: Partial<RefusedRequest> = {}): RefusedRequest => ({ ...REFUSED, ...change })
const createSchedule = () => createReturnSchedule({ slots: () => SLOTS })

/** Largest number of times in a window. */
function mostInWindow (times: readonly number[]): number {
  const sorted = [...times].sort((a, b) => a - b)
  return Math.max(0, ...sorted.map((from, index) => sorted.slice(index).filter((at) => at < from + WINDOW_MS).length))
}

test('callers refused in a burst return at a rate that the slots can serve beside new ones', () => {
  const schedule = createSchedule()
  const times = Array.from({ length: 300 }, (_, index) => index / 10 + schedule.delayMs(refused(), index / 10))
  expect(mostInWindow(times)).toBeLessThanOrEqual(SERVED_PER_WINDOW / 2 + 1)
  expect(Math.min(...times)).toBe(50)
})

test('more callers than can be served in time are spread over their time', () => {
  const schedule = createSchedule()
  const times = Array.from({ length: 2000 }, () => schedule.delayMs(refused({ maxMs: 1000 }), 0))
  expect(Math.max(...times)).toBeLessThanOrEqual(1000)
  expect(mostInWindow(times)).toBeLessThan(1.5 * times.length * WINDOW_MS / 1000)
})

test('urgent callers return sooner than others that were refused before them', () => {
  const schedule = createSchedule()
  const low = Array.from({ length: 100 }, () => schedule.delayMs(refused({ rank: 2 }), 0))
  const urgent = Array.from({ length: 10 }, () => schedule.delayMs(refused({ rank: 0 }), 0))
  expect(Math.max(...urgent)).toBeLessThan(low[20])
  const next = schedule.delayMs(refused({ rank: 2 }), 0)
  expect(next).toBeGreaterThan(Math.max(...low))
})

test('after the end of a burst, delays are short again', () => {
  const schedule = createSchedule()
  for (let i = 0; i < 300; i += 1) schedule.delayMs(refused(), 0)
  expect(schedule.delayMs(refused({ roomInMs: 0 }), 10_000)).toBe(COST_MS)
})

test('a burst is followed by no second one, whether callers honour the delay or come back at once', () => {
  const callers = fc.array(fc.record({ at: fc.integer({ min: 0, max: 300 }), honours: fc.boolean() }), { minLength: 1, maxLength: 150 })
  fc.assert(fc.property(callers, fc.integer({ min: 0, max: 3 }), (list, retries) => {
    const schedule = createSchedule()
    // Callers that come back at once are refused again, and take up places in the sequence that they do not use.
    const attempts = list.flatMap(({ at, honours }) => honours
      ? [{ at, honours }]
      : Array.from({ length: retries + 1 }, (_, retry) => ({ at: at + retry * 20, honours })))
    const returns = attempts.sort((a, b) => a.at - b.at)
      .map(({ at, honours }) => ({ honours, delayMs: schedule.delayMs(refused(), at), at }))
      .filter(({ honours }) => honours)
    return mostInWindow(returns.map(({ at, delayMs }) => at + delayMs)) <= SERVED_PER_WINDOW / 2 + 1 &&
      returns.every(({ delayMs }) => delayMs >= COST_MS && delayMs <= MAX_MS)
  }), PROPERTY)
})
