import { expect, test, vi } from 'vitest'
import { bucketSizeOf, createRefusalMemory, createTeamLimiter, createTeamUse, divideShares, MAX_REFUSAL_MS, REST, type TeamLimit } from '../src/index.js'

const TOLERANCE = { windowMs: 5000, overage: 0.1, slack: 20 }

/** A limiter with equal shares of two databases, whose clock and limits a test sets. */
function startLimiter (limit: TeamLimit | undefined, requestReport = () => {}) {
  const clock = { now: 0 }
  const limits = { limit }
  const limiter = createTeamLimiter({
    epoch: 1, tolerance: TOLERANCE, limitOf: () => limits.limit, databases: () => 2, onReportChange: requestReport, now: () => clock.now,
  })
  limiter.applyShares({ database: 'd', epoch: 1, version: [1, 1], base: 0.5, shares: [] })
  return { limiter, clock, limits }
}

/** Operations admitted in a row, up to a bound. */
function admittedAtOnce (charge: () => object | undefined): number {
  let count = 0
  while (count < 5000 && charge() === undefined) count += 1
  return count
}

test('a team without a limit is never refused and has no bucket', () => {
  const { limiter } = startLimiter(undefined)
  expect(admittedAtOnce(() => limiter.charge('a'))).toBe(5000)
  expect(limiter.size()).toBe(0)
})

test('a lowered limit cuts the bucket at once, and a limit of 0 admits nothing', () => {
  const { limiter, clock, limits } = startLimiter({ ratePerS: 1000, burst: 1000 })
  clock.now = 10_000
  expect(admittedAtOnce(() => limiter.charge('a'))).toBeGreaterThan(400)
  clock.now = 20_000
  limits.limit = { ratePerS: 10, burst: 10 }
  // Half of the burst, and half of what the tolerance allows beside the limit.
  expect(admittedAtOnce(() => limiter.charge('a'))).toBeLessThanOrEqual(10 / 2 + (0.1 * 60 + 20) / 2)
  limits.limit = { ratePerS: 0, burst: 0 }
  clock.now = 30_000
  expect(limiter.charge('a')).toMatchObject({ retryAfterMs: MAX_REFUSAL_MS })
})

test('huge rates and bursts admit without end, and sizes are finite for all limits', () => {
  const { limiter, clock } = startLimiter({ ratePerS: 1e12, burst: 1e12 })
  clock.now = 1000
  expect(admittedAtOnce(() => limiter.charge('a'))).toBe(5000)
  for (const ratePerS of [0, 1e-9, 1, Number.MAX_SAFE_INTEGER]) {
    for (const burst of [0, 1, Number.MAX_SAFE_INTEGER]) {
      for (const databases of [0, 1, 10_000]) {
        const size = bucketSizeOf({ ratePerS, burst }, { share: 0.5, databases, tolerance: { windowMs: 5000, overage: 0, slack: 0 } })
        for (const value of Object.values(size)) expect(Number.isFinite(value) && value >= 0).toBe(true)
      }
    }
  }
})

test('answers many teams that come once: a bucket is forgotten when it is full again, and not before', () => {
  const { limiter, clock } = startLimiter({ ratePerS: 10, burst: 10 })
  for (let i = 0; i < 10_000; i += 1) {
    limiter.charge(`team-${i}`)
    limiter.settle(`team-${i}`)
  }
  for (let i = 0; i < 400; i += 1) limiter.report()
  expect(limiter.size()).toBe(10_000)
  clock.now = 10_000
  for (let i = 0; i < 400; i += 1) limiter.report()
  expect(limiter.size()).toBe(0)
  expect(limiter.report()).toEqual({ teamShares: { version: [1, 1] } })
})

test('answers a team that sends too much: those refused are told different times, in order, and its demand is reported early', () => {
  let requests = 0
  const { limiter, clock } = startLimiter({ ratePerS: 100, burst: 0 }, () => { requests += 1 })
  clock.now = 1000
  requests = 0
  admittedAtOnce(() => limiter.charge('a'))
  const { teamLoans = [] } = limiter.report()
  expect(teamLoans).toEqual([{ team: 'a', tokens: 1 }])
  limiter.confirmReport({ teamLoans }, [])
  clock.now = 1100
  admittedAtOnce(() => limiter.charge('a'))
  requests = 0
  const times = Array.from({ length: 10 }, () => {
    const shortage = limiter.charge('a')
    if (shortage !== undefined) limiter.refuse('a', shortage)
    return shortage?.retryAfterMs ?? 0
  })
  expect(new Set(times).size).toBe(times.length)
  expect(times.toSorted((a, b) => a - b)).toEqual(times)
  expect(requests).toBe(1)
  expect(limiter.report().teamDemand).toMatchObject([{ team: 'a' }])
})

test('demands are reported again until control has them, and shares whole only when asked for', () => {
  const { limiter, clock } = startLimiter({ ratePerS: 100, burst: 0 })
  limiter.applyShares({ database: 'd', epoch: 1, version: [1, 2], base: 0.5, shares: [{ team: 'a', share: 0.5 }] })
  clock.now = 100
  const { teamDemand = [] } = limiter.report()
  expect(teamDemand).toHaveLength(1)
  expect(limiter.report().teamDemand).toEqual(teamDemand)
  limiter.confirmReport({ teamDemand }, [])
  expect(limiter.report()).toEqual({ teamShares: { version: [1, 2] } })
  limiter.sendWhole()
  expect(limiter.report().teamShares).toEqual({ version: [1, 2], base: 0.5, shares: [{ team: 'a', share: 0.5 }] })
})

test('shares of another epoch or an earlier version are ignored', () => {
  const { limiter } = startLimiter({ ratePerS: 100, burst: 0 })
  limiter.applyShares({ database: 'd', epoch: 2, version: [9, 9], base: 1, shares: [] })
  limiter.applyShares({ database: 'd', epoch: 1, version: [0, 9], base: 1, shares: [] })
  limiter.applyShares({ database: 'd', epoch: 1, version: [1, 1], base: 1, shares: [] })
  expect(limiter.shareOf('a')).toBe(0.5)
})

test('answers uneven demand: small demands are met, the largest ones get what is left, and nothing is given twice', () => {
  expect(divideShares([2, 0.1, 0.1])).toEqual([expect.closeTo(0.8), 0.1, 0.1])
  expect(divideShares([2, 3, 0.2])).toEqual([expect.closeTo(0.4), expect.closeTo(0.4), 0.2])
  expect(divideShares([0, 0])).toEqual([0.5, 0.5])
  const [most, least] = divideShares([0.5, 0.1])
  expect(most + least).toBeCloseTo(1)
  expect(least).toBeGreaterThan(0.1)
})

test('answers clients that retry at once: the entry refuses them until the time that the home named, then lets them through', () => {
  const clock = { now: 0 }
  const memory = createRefusalMemory({ now: () => clock.now })
  memory.record('d', 'a', { id: 'first', retryAfterMs: 50 })
  expect(memory.check('other', 'a')).toBeUndefined()
  expect(memory.check('d', 'b')).toBeUndefined()
  const times = Array.from({ length: 5 }, () => memory.check('d', 'a')?.retryAfterMs)
  expect(times).toEqual([100, 150, 200, 250, 300])
  expect(memory.check('d', 'a')).toMatchObject({ id: 'first' })
  clock.now = 50
  expect(memory.check('d', 'a')).toBeUndefined()
  expect(memory.size()).toBe(0)
})

test('answers thousands of refused teams: the memory of refusals is bounded', () => {
  const memory = createRefusalMemory({ now: () => 0 })
  for (let i = 0; i < 10_000; i += 1) memory.record('d', `team-${i}`, { id: 'x', retryAfterMs: 1000 })
  expect(memory.size()).toBeLessThanOrEqual(1024)
})

test('the largest teams are counted one by one and all others together, and no operation is lost', () => {
  const use = createTeamUse()
  for (let i = 0; i < 1000; i += 1) use.refuse('large')
  for (let i = 0; i < 10_000; i += 1) use.admit(`team-${i}`)
  const counts = use.counts()
  expect(counts.size).toBeLessThan(50)
  expect(counts.get('large')).toEqual({ admitted: 0, refused: 1000 })
  expect(counts.get(REST)?.admitted).toBeGreaterThan(9000)
  expect([...counts.values()].reduce((sum, { admitted }) => sum + admitted, 0)).toBe(10_000)
})

test('small teams: a loan that is wanted right after another report is asked for after the interval, not with the next renewal', () => {
  vi.useFakeTimers()
  let requests = 0
  const { limiter, clock } = startLimiter({ ratePerS: 1, burst: 1 }, () => { requests += 1 })
  clock.now = 1000
  for (const team of ['a', 'b']) while (limiter.charge(team) === undefined) clock.now += 1
  const before = requests
  expect(limiter.report().teamLoans).toHaveLength(2)
  limiter.charge('c')
  clock.now += 1
  vi.advanceTimersByTime(60)
  expect(requests).toBeGreaterThan(before)
  vi.useRealTimers()
})

test('an operation that waits for a token when its home ends is refused at once', async () => {
  const { limiter, clock } = startLimiter({ ratePerS: 1, burst: 1 })
  clock.now = 1000
  let shortage = limiter.charge('a')
  while (shortage === undefined) shortage = limiter.charge('a')
  const waited = limiter.waitForToken('a', { ...shortage, expectedInMs: 60_000 })
  limiter.close()
  await waited
  expect(limiter.charge('a', { hasWaited: true })).toMatchObject({ expectedInMs: Infinity })
})
