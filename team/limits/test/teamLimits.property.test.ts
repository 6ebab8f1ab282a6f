import fc from 'fast-check'
import { expect, test } from 'vitest'
import { createLimitHistory, type LimitHistory } from './limitHistory.js'

const TOLERANCE = { windowMs: 5000, overage: 0.1, slack: 20 }
/** Just enough for the whole operations and the starts of each home. */
const SMALL_TOLERANCE = { windowMs: 5000, overage: 0.02, slack: 12 }
const DATABASES = 4
/** Rounding of fractional tokens and shares. */
const ROUNDING = 1e-3

type Step = (history: LimitHistory, hot: Set<number>) => void
const database = fc.integer({ min: 0, max: DATABASES - 1 })
const outageMs = fc.integer({ min: 0, max: 2000 })
const anyStep: fc.Arbitrary<Step> = fc.oneof(
  weighted(12, fc.integer({ min: 1, max: 150 }), (history, hot, steps) => history.run(steps * 10, () => {
    for (const index of hot) history.ask(index)
    expect(history.sharesInUse()).toBeLessThanOrEqual(1 + ROUNDING)
  })),
  weighted(6, fc.subarray([0, 1, 2, 3]), (_, hot, indices) => {
    hot.clear()
    for (const index of indices) hot.add(index)
  }),
  weighted(4, fc.tuple(database, fc.integer({ min: 0, max: 200 })), (history, _, [index, count]) => history.giveBack(index, count)),
  weighted(3, fc.tuple(database, fc.boolean(), fc.boolean()), (history, _, [index, ...links]) => history.connect(index, ...links)),
  weighted(4, database, (history, _, index) => history.connect(index, true, true)),
  weighted(1, database, (history, _, index) => history.kill(index)),
  weighted(1, database, (history, _, index) => history.move(index)),
  weighted(2, fc.constant(undefined), (history) => history.elect()),
  weighted(1, fc.tuple(outageMs, outageMs), (history, _, [downMs, idleMs]) => history.restartAll(downMs, idleMs)),
  weighted(1, fc.tuple(database, fc.integer({ min: 50, max: 15_000 })), (history, _, [index, ms]) => history.stepClock(index, ms)),
  weighted(1, fc.constantFrom(4, 12, 40), (history, _, perS) => history.setLimit({ ratePerS: perS, burst: perS }))
)

function weighted<T> (weight: number, values: fc.Arbitrary<T>, run: (history: LimitHistory, hot: Set<number>, value: T) => void) {
  return { weight, arbitrary: values.map((value): Step => (history, hot) => run(history, hot, value)) }
}

test.each([
  ['small', SMALL_TOLERANCE],
  ['usual', TOLERANCE],
])('answers a hot team while homes move, are cut off or frozen, and leaders change: no window exceeds a %s tolerance', (_, tolerance) => {
  fc.assert(fc.property(fc.array(anyStep, { minLength: 20, maxLength: 80 }), fc.constantFrom(0, 40, 120), (steps, burst) => {
    const history = createLimitHistory(DATABASES, { ratePerS: 40, burst }, tolerance)
    const hot = new Set([0, 1])
    for (const run of steps) run(history, hot)
    expect(history.excess()).toBeLessThanOrEqual(ROUNDING)
  }), { seed: 20261204, numRuns: 100, endOnFailure: true })
})

test.each([
  ['small', SMALL_TOLERANCE, 0],
  ['small', SMALL_TOLERANCE, 120],
  ['usual', TOLERANCE, 120],
])('answers homes that move again and again while all are hot: starts stay within a %s tolerance', (_, tolerance, burst) => {
  const history = createLimitHistory(DATABASES, { ratePerS: 40, burst }, tolerance)
  const askAll = () => { for (let index = 0; index < DATABASES; index += 1) history.ask(index) }
  // The buckets are full at first, then each home starts five times a second.
  history.run(9000, () => {})
  for (let round = 0; round < 50; round += 1) {
    for (let index = 0; index < DATABASES; index += 1) history.move(index)
    history.run(210, askAll)
  }
  expect(history.excess()).toBe(0)
})

test('answers operations that wait and are then not sent: their tokens do not let a full bucket be used twice', () => {
  const history = createLimitHistory(1, { ratePerS: 40, burst: 100 }, SMALL_TOLERANCE)
  history.run(9000, () => {})
  const waiting = history.ask(0)
  history.run(4000, () => {})
  history.ask(0)
  history.giveBack(0, waiting)
  history.ask(0)
  history.run(5000, () => history.ask(0))
  expect(history.excess()).toBe(0)
  expect(waiting).toBeGreaterThanOrEqual(100)
})

/** Fraction admitted in the second half of a time in which operations are asked for evenly. */
function admittedFraction (history: LimitHistory, demandPerS: readonly number[], lengthMs: number): number {
  const due = demandPerS.map(() => 0)
  let asked = 0
  let admitted = 0
  const ask = () => demandPerS.forEach((perS, index) => {
    due[index] += perS / 100
    const count = Math.floor(due[index])
    due[index] -= count
    asked += count
    for (let i = 0; i < count; i += 1) admitted += history.ask(index, 1)
  })
  history.run(lengthMs / 2, ask)
  asked = 0
  admitted = 0
  history.run(lengthMs / 2, ask)
  return admitted / asked
}

test.each([
  ['on one database', [38, 0, 0, 0]],
  ['unevenly', [30, 4, 3, 1]],
  ['evenly', [9.5, 9.5, 9.5, 9.5]],
])('answers a team below its limit whose demand stands %s: it is served in full after a few renewals', (_, demand) => {
  expect(admittedFraction(createLimitHistory(DATABASES, { ratePerS: 40, burst: 8 }, TOLERANCE), demand, 8000)).toBe(1)
})

test('answers a team far above its limit: the whole limit is used', () => {
  const fraction = admittedFraction(createLimitHistory(DATABASES, { ratePerS: 40, burst: 8 }, TOLERANCE), [100, 60, 30, 10], 20_000)
  expect(fraction).toBeGreaterThan(0.95 * 40 / 200)
  expect(fraction).toBeLessThan(1.1 * 40 / 200)
})
