import { expect, test } from 'vitest'
import { createWaitEstimate } from '@briarpick/admission'
import { createWorkQueue, type QueuedWork, shouldAdmit } from '../src/index.js'

const SLOTS = 10
const SERVICE_TIME_MS = 24
const LATENCY_TARGET_MS = 400
const DEADLINE_MS = 1000
/** Longest wait of an admitted request, in ms. */
const MAX_WAIT_MS = 600
const DURATION_MS = 20_000
const PRIORITY = 2

/** Simulates a constant arrival rate of `factor` times the capacity, in steps of 1 ms. */
function simulateOverload (factor: number) {
  const queue = createWorkQueue()
  const estimate = createWaitEstimate(SERVICE_TIME_MS)
  const endTimes: number[] = []
  const waiting = new Set<QueuedWork>()
  const counts = { onTime: 0, late: 0, rejectedAtOnce: 0, rejectedAfterWait: 0 }
  let arrivals = 0
  let time = 0
  for (let now = 0; now < DURATION_MS; now += 1) {
    time = now
    while (endTimes.length > 0 && endTimes[0] <= now) endTimes.shift()
    for (const work of [...waiting].filter(({ expiresAt }) => expiresAt <= now)) {
      waiting.delete(work)
      queue.remove(work)
      counts.rejectedAfterWait += 1
    }
    queue.serve(now, () => endTimes.length < SLOTS)
    for (arrivals += factor * SLOTS / SERVICE_TIME_MS; arrivals >= 1; arrivals -= 1) arrive(now)
  }

  function arrive (now: number): void {
    const start = () => {
      waiting.delete(work)
      endTimes.push(time + SERVICE_TIME_MS)
      counts[time + SERVICE_TIME_MS - queuedAt <= LATENCY_TARGET_MS ? 'onTime' : 'late'] += 1
      return true
    }
    const queuedAt = now
    const slackMs = LATENCY_TARGET_MS - estimate.meanServiceTimeMs()
    const expectedWaitMs = estimate.expectedWaitMs(queue.ahead(PRIORITY, now).all + 1, SLOTS)
    if (!shouldAdmit({ remainingMs: DEADLINE_MS, slackMs, expectedWaitMs })) {
      counts.rejectedAtOnce += 1
      return
    }
    const work: QueuedWork = {
      rank: PRIORITY,
      needsPrimary: false,
      queuedAt,
      lateAt: queuedAt + slackMs,
      expiresAt: queuedAt + MAX_WAIT_MS,
      canStart: () => true,
      start,
      expire: () => {},
    }
    waiting.add(work)
    queue.push(work)
    queue.serve(now, () => endTimes.length < SLOTS)
  }
  return counts
}

test('under constant overload the slots serve requests on time, and the excess is rejected at once rather than after a wait', () => {
  for (const factor of [1.1, 1.5, 4]) {
    const { onTime, late, rejectedAtOnce, rejectedAfterWait } = simulateOverload(factor)
    const served = SLOTS * DURATION_MS / SERVICE_TIME_MS
    expect(onTime).toBeGreaterThan(0.95 * served)
    expect(late + rejectedAfterWait).toBeLessThan(0.01 * (rejectedAtOnce + served))
  }
})

test('a request that can be on time is rejected if its wait would make it late; one that is late anyway is limited only by its deadline', () => {
  expect(shouldAdmit({ remainingMs: 1000, slackMs: 400, expectedWaitMs: 130 })).toBe(true)
  expect(shouldAdmit({ remainingMs: 1000, slackMs: 400, expectedWaitMs: 300 })).toBe(false)
  expect(shouldAdmit({ remainingMs: 1000, slackMs: -50, expectedWaitMs: 300 })).toBe(true)
  expect(shouldAdmit({ remainingMs: 100, slackMs: 400, expectedWaitMs: 90 })).toBe(false)
})
