import { expect, test } from 'vitest'
import { createLimitHistory, type LimitHistory } from './limitHistory.js'

const TOLERANCE = { windowMs: 5000, overage: 0.1, slack: 20 }
const DATABASES = 6
const DATABASE_INDICES = Array.from({ length: DATABASES }, (_, index) => index)
const STEPS_PER_S = 100
/** Longest wait of an operation for a token: 0.4 s. */
const MAX_WAIT_STEPS = 40
/** Limit of each team as a multiple of its mean use. */
const LIMIT_FACTOR = 1.6
/** Time without service in a restart of all, in ms. */
const OUTAGE_MS = 1200
/** Part of that time in which the later processes listen already, and no home has started yet. */
const IDLE_MS = 150
/** Time in which the callers of the outage come back, in ms. */
const BACKLOG_MS = 500

/** Uniform numbers from 0 to 1 (mulberry32). */
function createUniform (seed: number): () => number {
  let state = seed
  return () => {
    state = (state + 0x6D2B79F5) | 0
    let t = Math.imul(state ^ (state >>> 15), 1 | state)
    t = (t + Math.imul(t ^ (t >>> 7), 61 | t)) ^ t
    return ((t ^ (t >>> 14)) >>> 0) / 2 ** 32
  }
}

/** Operations of a team that were asked for, and those of them that were refused. */
interface Count {
  asked: number
  refused: number
}

/** Asks for operations that arrive independently and evenly on all databases; one without a token waits for it for a while. */
function askEvenly (history: LimitHistory, perS: number, lengthMs: number, uniform: () => number): Count {
  const count = { asked: 0, refused: 0 }
  let waiting: ReadonlyArray<{ readonly index: number, readonly steps: number }> = []
  history.run(lengthMs, () => {
    const arrived = DATABASE_INDICES.filter(() => uniform() < perS / DATABASES / STEPS_PER_S).map((index) => ({ index, steps: 0 }))
    count.asked += arrived.length
    const left = [...waiting, ...arrived].filter(({ index }) => history.ask(index, 1) === 0)
    count.refused += left.filter(({ steps }) => steps === MAX_WAIT_STEPS).length
    waiting = left.filter(({ steps }) => steps < MAX_WAIT_STEPS).map(({ index, steps }) => ({ index, steps: steps + 1 }))
  })
  return count
}

/** Limits of a deployment's teams, in operations per second: most are small, a few are large. */
const LIMITS = [5, 5, 6, 7, 8, 8, 9, 10, 11, 12, 13, 15, 17, 20, 25, 35, 60, 126]

/** Fraction refused of the operations of all teams, each in a history of its own. */
function refusedFraction (play: (history: LimitHistory, perS: number, uniform: () => number) => Count): number {
  const uniform = createUniform(20261204)
  const counts = LIMITS.flatMap((ratePerS) => Array.from({ length: 5 }, () => {
    const history = createLimitHistory(DATABASES, { ratePerS, burst: ratePerS }, TOLERANCE)
    return play(history, ratePerS / LIMIT_FACTOR, uniform)
  }))
  const sum = (values: readonly number[]) => values.reduce((total, value) => total + value, 0)
  return sum(counts.map(({ refused }) => refused)) / sum(counts.map(({ asked }) => asked))
}

test('small teams: operations below a limit that vary on each of six databases are refused in less than one of a thousand cases', () => {
  const fraction = refusedFraction((history, perS, uniform) => {
    askEvenly(history, perS, 10_000, uniform)
    return askEvenly(history, perS, 30_000, uniform)
  })
  expect(fraction).toBeLessThan(0.001)
})

test('restart of all: callers that come back at once after two seconds are admitted, as far as the slots could serve them', () => {
  const fraction = refusedFraction((history, perS, uniform) => {
    askEvenly(history, perS, 10_000, uniform)
    history.restartAll(OUTAGE_MS - IDLE_MS, IDLE_MS)
    // Nobody is served meanwhile, so that what callers asked for comes in the first half second.
    history.run(OUTAGE_MS + 200, () => {})
    const backlog = askEvenly(history, perS * (1 + OUTAGE_MS / BACKLOG_MS), BACKLOG_MS, uniform)
    const rest = askEvenly(history, perS, 2000 - BACKLOG_MS, uniform)
    return { asked: backlog.asked + rest.asked, refused: backlog.refused + rest.refused }
  })
  expect(fraction).toBeLessThan(0.05)
})
