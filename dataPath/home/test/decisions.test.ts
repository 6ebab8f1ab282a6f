import { expect, test } from 'vitest'
import fc from 'fast-check'
import { hasReached, type LogPosition } from '@briarpick/types'
import {
  chooseReadTarget,
  createAckHistory,
  createWorkQueue,
  createWriteProgress,
  type FreshnessRequirement,
  type QueuedWork,
  type ReadCandidate,
} from '../src/index.js'
import { readTimeoutMs } from '../src/createStatementRunner.js'

const at = (offset: number, term = 1): LogPosition => ({ term, offset })
const target = (instance: string, change: Partial<ReadCandidate> = {}): ReadCandidate => ({
  instance,
  isPrimary: false,
  isLocal: false,
  isFree: true,
  canAcquire: true,
  active: 0,
  slots: 2,
  capacity: 3,
  received: at(10),
  applied: at(10),
  lagMs: 10,
  receiveLagMs: 0,
  isHeldBack: false,
  extraMs: 0,
  ...change,
})
const PRIMARY = target('p', { isPrimary: true })
const NEED: FreshnessRequirement = { required: at(10), requiredAgeMs: 20, excluded: new Set(), expectedWaitMs: () => 0 }

test('reads go to a replica that has the data rather than to the primary', () => {
  expect(chooseReadTarget([PRIMARY, target('r')], NEED)?.instance).toBe('r')
  expect(chooseReadTarget([PRIMARY, target('r', { active: 1 }), target('s')], NEED)?.instance).toBe('s')
})

test('a free slot of the primary is preferred to sending beyond the slots of a busy replica, and that to waiting', () => {
  const busy = target('r', { isFree: false, active: 2 })
  expect(chooseReadTarget([PRIMARY, busy], NEED)?.instance).toBe('p')
  expect(chooseReadTarget([{ ...PRIMARY, isFree: false, active: 2 }, busy], NEED)?.instance).toBe('r')
  expect(chooseReadTarget([{ ...PRIMARY, isFree: false, canAcquire: false }, { ...busy, canAcquire: false }], NEED)).toBeUndefined()
})

test('among equally loaded replicas, the one in the data centre of the home is chosen', () => {
  const far = target('a', { lagMs: 5 })
  const near = target('b', { isLocal: true })
  expect(chooseReadTarget([PRIMARY, far, near], NEED)?.instance).toBe('b')
  expect(chooseReadTarget([PRIMARY, far, { ...near, active: 1 }], NEED)?.instance).toBe('a')
})

test('with replicas far behind, reads that require the last write go to the primary and others to a replica', () => {
  const behind = target('r', { applied: at(5), lagMs: 800 })
  expect(chooseReadTarget([PRIMARY, behind], NEED)?.instance).toBe('p')
  expect(chooseReadTarget([PRIMARY, behind], { ...NEED, required: at(5) })?.instance).toBe('r')
})

test('with lagging replicas, reads of data about as old as the lag or older go to a replica and reads of newer data to the primary', () => {
  const lagging = target('r', { applied: at(5), lagMs: 150 })
  expect(chooseReadTarget([PRIMARY, lagging], { ...NEED, requiredAgeMs: 20 })?.instance).toBe('p')
  expect(chooseReadTarget([PRIMARY, lagging], { ...NEED, requiredAgeMs: 120 })?.instance).toBe('r')
  expect(chooseReadTarget([PRIMARY, lagging], { ...NEED, requiredAgeMs: 2000 })?.instance).toBe('r')
})

test('a replica that has received the data and applies it soon is preferred to the primary', () => {
  expect(chooseReadTarget([PRIMARY, target('r', { applied: at(9) })], NEED)?.instance).toBe('r')
})

test('a read is not retried on a target that failed it', () => {
  expect(chooseReadTarget([PRIMARY, target('r')], { ...NEED, excluded: new Set(['r']) })?.instance).toBe('p')
})

test('before the floor is known, no read has a required position', () => {
  const history = createAckHistory()
  history.record(at(7), 1000)
  expect(history.requiredPosition({ current: true, maxAgeMs: 0, seen: null }, 1000)).toBeUndefined()
})

test('the required position covers every write that the freshness of a read demands: current, bounded age or already seen', () => {
  const stepLists = fc.array(fc.record({ gap: fc.integer({ min: 0, max: 900 }), by: fc.integer({ min: 0, max: 3 }) }), { maxLength: 60 })
  fc.assert(fc.property(stepLists, fc.integer({ min: 100, max: 3000 }), fc.integer({ min: 0, max: 200 }), (steps, maxAgeMs, seenOffset) => {
    const history = createAckHistory()
    history.setFloor(at(3))
    const acknowledged: Array<{ readonly at: number, readonly offset: number }> = []
    let now = 5000
    let offset = 3
    for (const { gap, by } of steps) {
      now += gap
      offset += by
      acknowledged.push({ at: now, offset })
      history.record(at(offset), now)
    }
    const seen = at(Math.min(seenOffset, offset))
    const current = history.requiredPosition({ current: true, maxAgeMs: 0, seen: null }, now)
    const bounded = history.requiredPosition({ current: false, maxAgeMs, seen }, now)
    const old = Math.max(3, ...acknowledged.filter((each) => now - each.at >= maxAgeMs).map((each) => each.offset))
    return current !== undefined && bounded !== undefined && hasReached(current, at(offset)) &&
      hasReached(bounded, at(old)) && hasReached(bounded, seen)
  }), { seed: 20261204, numRuns: 1000, endOnFailure: true })
})

test('what a target may have confirmed before it was lost stays known, also if the answer arrives after the loss', () => {
  const history = createAckHistory()
  expect(history.acknowledgedBeforeLoss()).toEqual({ term: 0, offset: 0 })
  history.setFloor(at(3))
  history.record(at(5), 100, { at: 90, followed: at(4) })
  history.recordNewConnection(110)
  expect(history.acknowledgedBeforeLoss()).toEqual(at(5))
  history.record(at(6), 120, { at: 105, followed: at(5) })
  expect(history.acknowledgedBeforeLoss()).toEqual(at(6))
  history.record(at(7), 130, { at: 125, followed: at(6) })
  expect(history.acknowledgedBeforeLoss()).toEqual(at(6))
})

test('a loss before the floor is known leaves open what was acknowledged before it, until the floor is known', () => {
  const history = createAckHistory()
  history.recordCopyLoss(10)
  expect(history.acknowledgedBeforeLoss()).toBeUndefined()
  history.setFloor(at(4))
  expect(history.acknowledgedBeforeLoss()).toEqual(at(4))
})

function work (name: string, rank: number, log: string[], change: Partial<QueuedWork> = {}): QueuedWork {
  return {
    rank,
    needsPrimary: false,
    queuedAt: 0,
    lateAt: Infinity,
    expiresAt: 1000,
    canStart: () => true,
    start () {
      log.push(name)
      return true
    },
    expire: () => { log.push(`${name} expired`) },
    ...change,
  }
}

test('work without a latency target starts by rank, and in order of arrival within a rank', () => {
  const log: string[] = []
  const queue = createWorkQueue()
  queue.push(work('low', 2, log))
  queue.push(work('high', 1, log))
  queue.push(work('low again', 2, log))
  queue.push(work('in transaction', -1, log))
  queue.serve(0, () => true)
  expect(log).toEqual(['in transaction', 'high', 'low', 'low again'])
})

test('work that cannot start does not block other work, and expires on time', () => {
  const log: string[] = []
  const queue = createWorkQueue()
  queue.push(work('stuck', 1, log, { start: () => false }))
  queue.push(work('free', 2, log))
  queue.serve(0, () => true)
  expect(log).toEqual(['free'])
  queue.serve(1000, () => true)
  expect(log).toEqual(['free', 'stuck expired'])
  expect(queue.size()).toBe(0)
})

test('a backlog that cannot start costs one cheap check per item while there is capacity, and none without', () => {
  const log: string[] = []
  const queue = createWorkQueue()
  let checks = 0
  for (let i = 0; i < 300; i += 1) {
    queue.push(work('waiting', 2, log, {
      canStart () {
        checks += 1
        return false
      },
    }))
  }
  queue.serve(0, () => false)
  expect(checks).toBe(0)
  queue.serve(0, () => true)
  expect(checks).toBe(300)
  expect(log).toEqual([])
  expect(queue.size()).toBe(300)
})

test('in a wave of retries that cannot all be on time, the newest are served first and the rest wait as late work', () => {
  const log: string[] = []
  const queue = createWorkQueue()
  queue.push(work('first', 2, log, { queuedAt: 0, lateAt: 200 }))
  queue.push(work('second', 2, log, { queuedAt: 50, lateAt: 250 }))
  queue.push(work('newest', 2, log, { queuedAt: 110, lateAt: 310 }))
  queue.serve(120, () => log.length < 1)
  expect(log).toEqual(['newest'])
  queue.serve(230, () => log.length < 3)
  expect(log).toEqual(['newest', 'second', 'first'])
})

test('while all targets are slow, the timeout of a read doubles with each attempt, and the last attempt has none', () => {
  const first = readTimeoutMs(1, 24)
  expect(readTimeoutMs(2, 24)).toBe(2 * first)
  expect(readTimeoutMs(3, 24)).toBe(Infinity)
  expect(readTimeoutMs(1, 100)).toBeGreaterThan(first)
})

test('without overload, work of one rank is started in order of arrival', () => {
  const log: string[] = []
  const queue = createWorkQueue()
  queue.push(work('first', 2, log, { queuedAt: 0, lateAt: 200 }))
  queue.push(work('second', 2, log, { queuedAt: 50, lateAt: 250 }))
  queue.serve(90, () => true)
  expect(log).toEqual(['first', 'second'])
})

test('the queue starts work only while there is capacity', () => {
  const log: string[] = []
  const queue = createWorkQueue()
  for (const name of ['first', 'second', 'third']) queue.push(work(name, 2, log))
  queue.serve(0, () => log.length < 2)
  expect(log).toEqual(['first', 'second'])
  expect(queue.size()).toBe(1)
})

test('after an outage, work that can be on time goes before late work of its rank, and late work of a lower rank before both', () => {
  const log: string[] = []
  const queue = createWorkQueue()
  queue.push(work('late', 2, log, { lateAt: 50 }))
  queue.push(work('on time', 2, log, { lateAt: 500 }))
  queue.push(work('urgent and late', 1, log, { lateAt: 50 }))
  expect(queue.ahead(2, 100)).toEqual({ all: 2, needPrimary: 0 })
  queue.serve(100, () => true)
  expect(log).toEqual(['urgent and late', 'on time', 'late'])
})

test('one lost response among answered writes does not make the primary stuck, but no response at all does', () => {
  const progress = createWriteProgress()
  const lost = progress.track(0)
  progress.track(600)(true, 650)
  expect(progress.stuckMs(700)).toBe(50)
  expect(progress.stuckMs(1400)).toBe(750)
  lost(false, 1400)
  expect(progress.stuckMs(1400)).toBe(0)
  expect(progress.hasPending()).toBe(false)
})

test('a primary that answers no write stays stalled after the writes that waited have ended, until one is answered', () => {
  const progress = createWriteProgress()
  const first = progress.track(0)
  expect(progress.isStalled(600, 700)).toBe(false)
  expect(progress.isStalled(700, 700)).toBe(true)
  first(false, 800)
  expect(progress.stuckMs(800)).toBe(0)
  expect(progress.isStalled(800, 700)).toBe(true)
  const trial = progress.track(850)
  expect(progress.isStalled(860, 700)).toBe(true)
  trial(true, 870)
  expect(progress.isStalled(870, 700)).toBe(false)
})

test('a lost answer among answered writes does not count as a stalled primary', () => {
  const progress = createWriteProgress()
  const lost = progress.track(0)
  progress.track(600)(true, 650)
  lost(false, 800)
  expect(progress.isStalled(800, 700)).toBe(false)
})

test('a stream of writes whose time ends before a primary counts as stuck shows that none is answered', () => {
  const progress = createWriteProgress()
  const ends = [0, 200, 400, 600].map((at) => ({ end: progress.track(at), at }))
  for (const { end, at } of ends.slice(0, 2)) end(false, at + 450)
  expect(progress.stuckMs(700)).toBeGreaterThanOrEqual(700)
})

test('a second write that waits long after one waited in vain shows that the primary answers nothing, a second one that is answered does not', () => {
  const progress = createWriteProgress()
  progress.track(0)(false, 600)
  const second = progress.track(2000)
  expect(progress.stuckMs(2100)).toBe(100)
  expect(progress.stuckMs(2300)).toBeGreaterThanOrEqual(700)
  second(true, 2310)
  progress.track(3000)
  expect(progress.stuckMs(3300)).toBe(300)
})

test('a COMMIT that may have committed no write proves nothing of what is acknowledged', () => {
  const history = createAckHistory()
  history.setFloor(at(4))
  history.record(at(6), 100, { at: 90, followed: undefined })
  expect(history.provenAcknowledged()).toEqual({ term: 0, offset: 0 })
  history.record(at(7), 110, { at: 101, followed: at(6) })
  expect(history.provenAcknowledged()).toEqual(at(7))
})
