import { expect, test } from 'vitest'
import fc from 'fast-check'
import { createBacklogClasses } from '@briarpick/admission'
import { createFairWorkQueue, createWorkQueue, type FairWork } from '../src/index.js'

const PROPERTY = { seed: 20261204, numRuns: 500, endOnFailure: true }

function work (team: string | null, log: string[], change: Partial<FairWork> = {}): FairWork {
  return {
    rank: 0,
    team,
    lane: 'read',
    costMs: 10,
    needsPrimary: false,
    queuedAt: 0,
    lateAt: 1000,
    expiresAt: 6000,
    hasSlot: () => true,
    canStart: () => true,
    start () {
      log.push(team ?? 'none')
      return true
    },
    expire: () => { log.push(`${team} expired`) },
    ...change,
  }
}

const createQueue = () => createFairWorkQueue({ slots: () => 4 })

test('behind a loud team, another team waits for one request of it, not for its backlog', () => {
  const log: string[] = []
  const queue = createQueue()
  for (let i = 0; i < 20; i += 1) queue.push(work('loud', log))
  queue.push(work('quiet', log))
  queue.push(work('quiet', log))
  queue.serve(0, () => log.length < 4)
  expect(log).toEqual(['loud', 'quiet', 'loud', 'quiet'])
  expect(queue.ahead({ rank: 0, team: 'new', costMs: 10, needsPrimary: false, canBeOnTime: true }).allMs).toBe(20)
  expect(queue.ahead({ rank: 0, team: 'loud', costMs: 10, needsPrimary: false, canBeOnTime: true }).allMs).toBe(190)
})

test('shares are counted by slot time: a team of short requests starts several for each long one of another', () => {
  const log: string[] = []
  const queue = createQueue()
  for (let i = 0; i < 20; i += 1) {
    queue.push(work('long', log, { costMs: 20 }))
    queue.push(work('short', log, { costMs: 5 }))
  }
  queue.serve(0, () => log.length < 15)
  expect(log.filter((team) => team === 'short')).toHaveLength(12)
})

test('an idle share is used by whoever has work, and a team that returns is owed nothing', () => {
  const log: string[] = []
  const queue = createQueue()
  for (let i = 0; i < 30; i += 1) queue.push(work('loud', log))
  queue.serve(0, () => log.length < 20)
  for (let i = 0; i < 5; i += 1) queue.push(work('back', log))
  queue.serve(0, () => log.length < 26)
  expect(log.slice(0, 20)).toEqual(Array.from({ length: 20 }, () => 'loud'))
  expect(log.slice(20).filter((team) => team === 'back')).toHaveLength(3)
})

test('work that was started without waiting while others wait counts for its team', () => {
  const log: string[] = []
  const queue = createQueue()
  queue.push(work('writer', log, { lane: 'primary', hasSlot: () => false }))
  queue.charge({ rank: 0, team: 'loud', costMs: 40 })
  for (let i = 0; i < 4; i += 1) {
    queue.push(work('loud', log))
    queue.push(work('quiet', log))
  }
  queue.serve(0, () => log.length < 4)
  expect(log).toEqual(['quiet', 'quiet', 'quiet', 'quiet'])
})

test('two teams that both have work all the time differ by at most one request of each, in slot time', () => {
  const costs = fc.array(fc.integer({ min: 1, max: 60 }), { minLength: 30, maxLength: 30 })
  fc.assert(fc.property(costs, costs, fc.integer({ min: 1, max: 25 }), (a, b, starts) => {
    const queue = createQueue()
    const servedMs = { a: 0, b: 0 }
    let started = 0
    const push = (team: 'a' | 'b', costMs: number) => queue.push(work(team, [], {
      costMs,
      start () {
        servedMs[team] += costMs
        started += 1
        return true
      },
    }))
    for (const cost of a) push('a', cost)
    for (const cost of b) push('b', cost)
    queue.serve(0, () => started < starts)
    return Math.abs(servedMs.a - servedMs.b) <= Math.max(...a) + Math.max(...b)
  }), PROPERTY)
})

test('for callers without a team, the order is that of the queue without teams, also under overload and after an outage', () => {
  const steps = fc.array(fc.record({ gap: fc.integer({ min: 0, max: 60 }), starts: fc.integer({ min: 0, max: 3 }) }), { maxLength: 40 })
  fc.assert(fc.property(steps, (list) => {
    const logs: readonly [string[], string[]] = [[], []]
    const queues = [createWorkQueue(), createQueue()] as const
    let now = 0
    for (const [index, { gap, starts }] of list.entries()) {
      now += gap
      for (const [which, queue] of queues.entries()) {
        const log = logs[which]
        const start = () => log.push(`${index}`) > 0
        queue.push(work(null, log, { queuedAt: now, lateAt: now + 200, expiresAt: now + 500, start, expire: () => { log.push(`${index} expired`) } }))
        const limit = log.length + starts
        queue.serve(now, () => log.length < limit)
      }
    }
    return queues[0].size() === queues[1].size() && logs[0].join() === logs[1].join()
  }), PROPERTY)
})

test('the estimate of the work ahead is never below the fair share of it and at most twice as much', () => {
  const backlogs = fc.array(fc.integer({ min: 0, max: 5000 }), { maxLength: 40 })
  fc.assert(fc.property(backlogs, fc.integer({ min: 1, max: 3000 }), (list, limitMs) => {
    const classes = createBacklogClasses()
    for (const backlogMs of list) {
      classes.update(0, backlogMs + 1)
      classes.update(backlogMs + 1, backlogMs)
    }
    const exactMs = list.reduce((sum, backlogMs) => sum + Math.min(backlogMs, limitMs), 0)
    const sumMs = classes.sumUpTo(limitMs)
    return sumMs >= exactMs - 1e-6 && sumMs <= 2 * exactMs + 1e-6
  }), PROPERTY)
})

test('the state is bounded: teams without work and credit are forgotten, all of them when nothing waits', () => {
  const log: string[] = []
  const queue = createQueue()
  const blocked = work('blocked', log, { lane: 'primary', hasSlot: () => false })
  queue.push(blocked)
  for (let team = 0; team < 10_000; team += 1) {
    queue.push(work(`team ${team}`, log))
    queue.serve(0, () => log.length <= team)
  }
  expect(log).toHaveLength(10_000)
  expect(queue.teams()).toBeLessThan(1100)
  queue.remove(blocked)
  expect([queue.size(), queue.teams()]).toEqual([0, 0])
})

test('work that cannot start costs one check for its kind, and does not block other work', () => {
  const log: string[] = []
  const queue = createQueue()
  let checks = 0
  for (let i = 0; i < 300; i += 1) {
    queue.push(work(`team ${i % 7}`, log, {
      lane: 'primary',
      hasSlot () {
        checks += 1
        return false
      },
    }))
  }
  queue.push(work('reader', log))
  queue.serve(0, () => true)
  expect([checks, log]).toEqual([1, ['reader']])
  expect(queue.size()).toBe(300)
})

test('a request whose data is on no free target is passed over and keeps its place', () => {
  const log: string[] = []
  const queue = createQueue()
  let isApplied = false
  const start = () => isApplied && log.push('waits for its data') > 0
  queue.push(work('a', log, { start }))
  queue.push(work('a', log))
  queue.push(work('b', log))
  queue.serve(0, () => log.length < 1)
  expect(log).toEqual(['a'])
  isApplied = true
  queue.serve(0, () => log.length < 3)
  expect(log).toEqual(['a', 'b', 'waits for its data'])
})

test('a team that has no connection yet is passed over at the cost of one check, however much of its work waits', () => {
  const log: string[] = []
  const queue = createQueue()
  let checks = 0
  let isConnected = false
  const canStart = () => {
    checks += 1
    return isConnected
  }
  for (let i = 0; i < 50; i += 1) queue.push(work('connecting', log, { canStart }))
  for (let i = 0; i < 3; i += 1) queue.push(work('connected', log))
  queue.serve(0, () => true)
  expect([checks, log]).toEqual([1, ['connected', 'connected', 'connected']])
  isConnected = true
  queue.serve(0, () => true)
  expect(log).toHaveLength(53)
})
