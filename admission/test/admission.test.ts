import { expect, test } from 'vitest'
import { createFairQueue, createRetryBudget, createWaitEstimate } from '../src/index.js'

test('callers take turns, however much one of them asks', () => {
  const queue = createFairQueue<string>()
  for (let i = 0; i < 50; i++) queue.push('loud', `loud-${i}`)
  queue.push('quiet', 'quiet-0')
  queue.push('quiet', 'quiet-1')
  const served: string[] = []
  queue.visit((item) => {
    if (served.length === 6) return 'stop'
    served.push(item)
    return 'take'
  })
  expect(served).toEqual(['loud-0', 'quiet-0', 'loud-1', 'quiet-1', 'loud-2', 'loud-3'])
  expect(queue.size()).toBe(46)
})

test('an item that cannot be served does not hold back those behind it', () => {
  const queue = createFairQueue<number>()
  for (const item of [1, 2, 3]) queue.push('a', item)
  const served: number[] = []
  queue.visit((item) => {
    if (item === 1) return 'leave'
    served.push(item)
    return 'take'
  })
  expect(served).toEqual([2, 3])
  expect(queue.remove('a', 1)).toBe(true)
  expect(queue.remove('a', 1)).toBe(false)
})

test('when the queue is full, the caller with the most gives way, and only to one with fewer', () => {
  const queue = createFairQueue<string>()
  for (let i = 0; i < 3; i++) queue.push('loud', `loud-${i}`)
  queue.push('quiet', 'quiet-0')
  expect(queue.callers()).toBe(2)
  expect(queue.evictLargest(3)).toBeUndefined()
  expect(queue.evictLargest(1)).toBe('loud-2')
  expect([queue.size(), queue.sizeOf('loud'), queue.sizeOf('quiet')]).toEqual([3, 2, 1])
})

test('retries stay a fixed part of first attempts', () => {
  const budget = createRetryBudget({ ratio: 0.1, burst: 2 })
  expect([budget.spend(), budget.spend(), budget.spend()]).toEqual([true, true, false])
  for (let i = 0; i < 11; i++) budget.earn()
  expect([budget.spend(), budget.spend()]).toEqual([true, false])
})

test('the expected wait grows with those ahead and shrinks with slots', () => {
  const estimate = createWaitEstimate()
  for (let i = 0; i < 500; i++) estimate.record(10)
  expect(estimate.expectedWaitMs(8, 2)).toBeCloseTo(40, 0)
  expect(estimate.expectedWaitMs(8, 4)).toBeCloseTo(20, 0)
})
