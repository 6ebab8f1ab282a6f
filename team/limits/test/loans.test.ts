import { expect, test } from 'vitest'
import { createHomeEnds, createTeamReserve, createTermHistory, LOAN_LIFE_MS, reserveOf } from '../src/index.js'

const TOLERANCE = { windowMs: 5000, overage: 0.1, slack: 20 }
const LIMIT = { ratePerS: 20, burst: 20 }
const WINDOW_MS = TOLERANCE.windowMs + LOAN_LIFE_MS
const HOME = { proxy: 'p#1', address: { host: '10.0.0.1', port: 1 } }
const LATER = { ...HOME, proxy: 'p#2' }

/** Lends as much as the reserve has, and returns how much that is. */
function lendAll (otherLeaderships: number, now: () => number) {
  const reserve = createTeamReserve({ tolerance: TOLERANCE, limitOf: () => LIMIT, otherLeaderships: () => otherLeaderships, now })
  return { reserve, lent: reserve.lend('a', 1000) }
}

test('leaders that follow each other within a window lend no more than the reserve, and the third one nothing', () => {
  const [first, second, third] = [0, 1, 2].map((others) => lendAll(others, () => 0).lent)
  expect(first).toBeGreaterThan(0)
  expect(second).toBeGreaterThan(0)
  expect(first + second).toBeLessThanOrEqual(reserveOf(LIMIT, TOLERANCE))
  expect(third).toBe(0)
})

test('a loan counts until no home can have used it within the window', () => {
  const clock = { now: 0 }
  const { reserve, lent } = lendAll(0, () => clock.now)
  clock.now = WINDOW_MS
  expect(reserve.lend('a', 1)).toBe(0)
  clock.now = WINDOW_MS + 1
  expect(reserve.lend('a', 1000)).toBe(lent)
})

test('terms count while they may have been in force, and those before the start of the process do not', () => {
  const clock = { now: 0 }
  const terms = createTermHistory(7, () => clock.now)
  expect(terms.earlierTermsWithin(1000)).toBe(0)
  clock.now = 100
  terms.observe(8)
  clock.now = 500
  terms.observe(10)
  expect(terms.earlierTermsWithin(1000)).toBe(3)
  clock.now = 1200
  expect(terms.earlierTermsWithin(1000)).toBe(2)
  clock.now = 1501
  expect(terms.earlierTermsWithin(1000)).toBe(0)
})

test('restart of all: a later process at the address of a home proves since when its shares are unused', () => {
  const clock = { now: 1000 }
  const ends = createHomeEnds(() => clock.now)
  ends.observe({ database: 'd', epoch: 1, process: HOME })
  expect(ends.unusedSince('d')).toBeUndefined()
  ends.recordProcess(LATER, 400)
  expect(ends.unusedSince('d')).toBe(400)
  ends.observe({ database: 'd', epoch: 2, process: LATER })
  expect(ends.unusedSince('d')).toBe(400)
  ends.startLeadership()
  expect(ends.unusedSince('d')).toBeUndefined()
})

test('the process of a home itself, and a delayed renewal of an earlier one, prove no end', () => {
  const clock = { now: 1000 }
  const ends = createHomeEnds(() => clock.now)
  ends.observe({ database: 'd', epoch: 2, process: LATER })
  ends.recordProcess(LATER, 400)
  ends.recordProcess(HOME, 100)
  expect(ends.unusedSince('d')).toBeUndefined()
  clock.now = 2000
  ends.observe({ database: 'd', epoch: 3, process: { proxy: 'q#1', address: { host: '10.0.0.2', port: 1 } } })
  expect(ends.unusedSince('d')).toBe(2000)
})
