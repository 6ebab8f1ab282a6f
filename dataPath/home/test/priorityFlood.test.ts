import { expect, test } from 'vitest'
import fc from 'fast-check'
import { createFairWorkQueue, type FairWork } from '../src/index.js'

const SLOTS = 2
const PROPERTY = { seed: 20261204, numRuns: 300, endOnFailure: true }

interface Start {
  readonly work: FairWork
  readonly at: number
}

/** Queue whose work ends after its cost, with the record of what started and expired. */
function createServer () {
  const queue = createFairWorkQueue({ slots: () => SLOTS })
  const running: number[] = []
  const starts: Start[] = []
  const expired: FairWork[] = []
  const waiting = new Set<FairWork>()
  let now = 0

  function push (rank: number, costMs: number, aimMs: number, deadlineMs: number): FairWork {
    const work: FairWork = {
      rank,
      team: `team ${rank}`,
      lane: 'read',
      costMs,
      needsPrimary: false,
      queuedAt: now,
      lateAt: now + aimMs - costMs,
      expiresAt: now + deadlineMs - costMs,
      hasSlot: () => true,
      canStart: () => true,
      start () {
        running.push(now + costMs)
        starts.push({ work, at: now })
        return waiting.delete(work)
      },
      expire () {
        waiting.delete(work)
        expired.push(work)
      },
    }
    waiting.add(work)
    queue.push(work)
    return work
  }

  /** Moves the time on by 1 ms; work whose time is over expires. */
  function step (): void {
    now += 1
    for (const end of running.filter((each) => each <= now)) running.splice(running.indexOf(end), 1)
    for (const work of [...waiting].filter(({ expiresAt }) => expiresAt <= now)) {
      queue.remove(work)
      work.expire()
    }
    queue.serve(now, () => running.length < SLOTS)
  }

  return { push, step, starts, expired, queue, now: () => now }
}

test('a flood of low priority leaves the highest its aim, and the low one gets all that is left', () => {
  const server = createServer()
  for (let ms = 0; ms < 2000; ms += 1) {
    for (let i = 0; i < (ms % 10 === 0 ? 3 : 0); i += 1) server.push(2, 20, 800, 6000)
    if (ms % 10 === 0) server.push(0, 5, 150, 2000)
    server.step()
  }
  const high = server.starts.filter(({ work }) => work.rank === 0)
  expect(high.every(({ work, at }) => at < work.lateAt)).toBe(true)
  expect(high.length).toBeGreaterThanOrEqual(199)
  const busyMs = server.starts.reduce((sum, { work }) => sum + work.costMs, 0)
  expect(busyMs).toBeGreaterThan(0.97 * SLOTS * 2000)
})

test('in a surge of high priority, low priority waits, and is served within its deadline when the surge ends', () => {
  const server = createServer()
  const low = Array.from({ length: 20 }, () => server.push(2, 20, 800, 6000))
  for (let ms = 0; ms < 4000; ms += 1) {
    if (ms < 3000 && ms % 5 === 0) for (let i = 0; i < 2; i += 1) server.push(0, 5, 150, 2000)
    server.step()
  }
  expect(server.starts.filter(({ work }) => work.rank === 2)).toHaveLength(low.length)
  expect(server.expired).toEqual([])
  expect(server.starts.filter(({ work, at }) => work.rank === 0 && at >= work.lateAt)).toEqual([])
})

test('a request of low priority that would be late behind others goes before them if they have the time', () => {
  const queue = createFairWorkQueue({ slots: () => SLOTS })
  const log: string[] = []
  const make = (name: string, rank: number, lateAt: number): FairWork => ({
    rank,
    team: null,
    lane: 'read',
    costMs: 10,
    needsPrimary: false,
    queuedAt: 0,
    lateAt,
    expiresAt: 2000,
    hasSlot: () => true,
    canStart: () => true,
    start: () => log.push(name) > 0,
    expire: () => {},
  })
  for (let i = 0; i < 3; i += 1) queue.push(make('high', 0, 150))
  queue.push(make('pressed', 2, 12))
  queue.push(make('can wait', 2, 700))
  queue.serve(0, () => log.length < 5)
  expect(log).toEqual(['pressed', 'high', 'high', 'high', 'can wait'])
  const tight = createFairWorkQueue({ slots: () => SLOTS })
  for (let i = 0; i < 3; i += 1) tight.push(make('high', 0, 20))
  tight.push(make('pressed', 2, 12))
  tight.serve(0, () => log.length < 9)
  expect(log.slice(5)).toEqual(['high', 'high', 'high', 'pressed'])
})

test('no request is refused or late while one of lower priority was started that could have waited', () => {
  const arrivals = fc.array(fc.record({ gap: fc.integer({ min: 0, max: 25 }), rank: fc.integer({ min: 0, max: 2 }) }), { maxLength: 120 })
  const COSTS = [5, 14, 22]
  const AIMS = [150, 250, 800]
  const DEADLINES = [500, 500, 1500]
  fc.assert(fc.property(arrivals, (list) => {
    const server = createServer()
    for (const { gap, rank } of list) {
      for (let i = 0; i < gap; i += 1) server.step()
      server.push(rank, COSTS[rank], AIMS[rank], DEADLINES[rank])
    }
    for (let i = 0; i < 2000 && server.queue.size() > 0; i += 1) server.step()
    const harmed = [...server.expired, ...server.starts.filter(({ work, at }) => at >= work.lateAt).map(({ work }) => work)]
    const endOfWait = (work: FairWork) => server.starts.find((start) => start.work === work)?.at ?? work.expiresAt
    return harmed.every((work) => server.starts.every((other) => {
      if (other.work.rank <= work.rank || other.at < work.queuedAt || other.at >= endOfWait(work)) return true
      // What went before could not have waited: it still could be on time, and the work that it preceded had twice its slack.
      const slackMs = other.work.lateAt - other.at
      return slackMs > 0 && 2 * slackMs <= work.lateAt - other.at
    }))
  }), PROPERTY)
})
