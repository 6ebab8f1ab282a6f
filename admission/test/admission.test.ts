import { expect, test } from 'vitest'
import { createFairQueue, createRetryBudget, createWaitEstimate } from '../src/index.js'

test('callers are served round-robin, however many items one of them has', () => {
  const queue = createFairQueue<string>()
  for (let i = 0; i < 50; i++) queue.push('heavy', `heavy-${i}`)
  queue.push('light', 'light-0')
  queue.push('light', 'light-1')
  const served: string[] = []
  queue.visit((item) => {
    if (served.length === 6) return 'stop'
    served.push(item)
    return 'take'
  })
  expect(served).toEqual(['heavy-0', 'light-0', 'heavy-1', 'light-1', 'heavy-2', 'heavy-3'])
  expect(queue.size()).toBe(46)
})

test('an item that is left in the queue does not block the items behind it', () => {
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

test('eviction removes the newest item of the caller with the most items, and only if it has more than the given number', () => {
  const queue = createFairQueue<string>()
  for (let i = 0; i < 3; i++) queue.push('heavy', `heavy-${i}`)
  queue.push('light', 'light-0')
  expect(queue.callers()).toBe(2)
  expect(queue.evictLargest(3)).toBeUndefined()
  expect(queue.evictLargest(1)).toBe('heavy-2')
  expect([queue.size(), queue.sizeOf('heavy'), queue.sizeOf('light')]).toEqual([3, 2, 1])
})

test('retries are limited to a burst and a fixed fraction of first attempts', () => {
  const budget = createRetryBudget({ ratio: 0.1, burst: 2 })
  expect([budget.tryWithdraw(), budget.tryWithdraw(), budget.tryWithdraw()]).toEqual([true, true, false])
  for (let i = 0; i < 11; i++) budget.deposit()
  expect([budget.tryWithdraw(), budget.tryWithdraw()]).toEqual([true, false])
})

test('the expected wait grows with the requests ahead and shrinks with the number of slots', () => {
  const estimate = createWaitEstimate()
  for (let i = 0; i < 500; i++) estimate.record(10)
  expect(estimate.expectedWaitMs(8, 2)).toBeCloseTo(40, 0)
  expect(estimate.expectedWaitMs(8, 4)).toBeCloseTo(20, 0)
})
