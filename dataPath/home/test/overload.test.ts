import { expect, test } from 'vitest'
import { createWaitEstimate } from '@briarpick/admission'
import { admitsWait, createWorkQueue, type WaitingWork } from '../src/index.js'

const SLOTS = 10
const WORK_MS = 24
const AIM_MS = 400
const DEADLINE_MS = 1000
/** Longest wait of what was admitted, in ms. */
const EXPIRY_MS = 600
const LASTS_MS = 20_000
const PRIORITY = 2

/** Plays a constant stream of requests on a few slots, step by step of one ms. */
function playOverload (factor: number) {
  const queue = createWorkQueue()
  const estimate = createWaitEstimate(WORK_MS)
  const ends: number[] = []
  const waiting = new Set<WaitingWork>()
  const told = { onTime: 0, late: 0, refusedAtOnce: 0, refusedAfterWait: 0 }
  let due = 0
  let time = 0
  for (let now = 0; now < LASTS_MS; now += 1) {
    time = now
    while (ends.length > 0 && ends[0] <= now) ends.shift()
    for (const work of [...waiting].filter(({ expiresAt }) => expiresAt <= now)) {
      waiting.delete(work)
      queue.remove(work)
      told.refusedAfterWait += 1
    }
    queue.serve(now, () => ends.length < SLOTS)
    for (due += factor * SLOTS / WORK_MS; due >= 1; due -= 1) arrive(now)
  }

  function arrive (now: number): void {
    const start = () => {
      waiting.delete(work)
      ends.push(time + WORK_MS)
      told[time + WORK_MS - since <= AIM_MS ? 'onTime' : 'late'] += 1
      return true
    }
    const since = now
    const onTimeMs = AIM_MS - estimate.heldMs()
    const expectedMs = estimate.expectedWaitMs(queue.ahead(PRIORITY, now).all + 1, SLOTS)
    if (!admitsWait({ leftMs: DEADLINE_MS, onTimeMs, expectedMs })) {
      told.refusedAtOnce += 1
      return
    }
    const work: WaitingWork = {
      rank: PRIORITY,
      needsPrimary: false,
      since,
      lateAt: since + onTimeMs,
      expiresAt: since + EXPIRY_MS,
      mayStart: () => true,
      start,
      expire: () => {},
    }
    waiting.add(work)
    queue.push(work)
    queue.serve(now, () => ends.length < SLOTS)
  }
  return told
}

test('under a steady overload all slots serve in time, and the excess is refused at once rather than after a wait', () => {
  for (const factor of [1.1, 1.5, 4]) {
    const { onTime, late, refusedAtOnce, refusedAfterWait } = playOverload(factor)
    const served = SLOTS * LASTS_MS / WORK_MS
    expect(onTime).toBeGreaterThan(0.95 * served)
    expect(late + refusedAfterWait).toBeLessThan(0.01 * (refusedAtOnce + served))
  }
})

test('what can be on time is not worth a wait that would make it late; what is late anyway may wait for its deadline', () => {
  expect(admitsWait({ leftMs: 1000, onTimeMs: 400, expectedMs: 130 })).toBe(true)
  expect(admitsWait({ leftMs: 1000, onTimeMs: 400, expectedMs: 300 })).toBe(false)
  expect(admitsWait({ leftMs: 1000, onTimeMs: -50, expectedMs: 300 })).toBe(true)
  expect(admitsWait({ leftMs: 100, onTimeMs: 400, expectedMs: 90 })).toBe(false)
})
