import { expect, test } from 'vitest'
import { createServiceTimeEstimate, createWaitEstimate } from '../src/index.js'

const SHORT_MS = 4
const LONG_MS = 40

test('when a wave of long reads arrives among short writes, each kind keeps its own expected time', () => {
  const estimate = createServiceTimeEstimate({ initialMs: 15 })
  const single = createWaitEstimate(15)
  for (let i = 0; i < 200; i += 1) {
    estimate.record('write', 'primary', SHORT_MS)
    single.record(SHORT_MS)
    if (i < 180) continue
    for (let wave = 0; wave < 10; wave += 1) {
      estimate.record('read', 'replica', LONG_MS)
      single.record(LONG_MS)
    }
  }
  expect(single.meanServiceTimeMs()).toBeGreaterThan(5 * SHORT_MS)
  expect(estimate.expectedMs('write')).toBeCloseTo(SHORT_MS, 1)
  expect(estimate.expectedMs('read')).toBeCloseTo(LONG_MS, 1)
})

test('a new kind has the average of all until it has a few samples, and then its own at once', () => {
  const estimate = createServiceTimeEstimate({ initialMs: 15 })
  expect(estimate.expectedMs('read')).toBe(15)
  for (let i = 0; i < 100; i += 1) estimate.record('write', 'primary', SHORT_MS)
  for (let i = 0; i < 4; i += 1) estimate.record('read', 'replica', LONG_MS)
  expect(estimate.expectedMs('read')).toBeLessThan(LONG_MS / 2)
  estimate.record('read', 'replica', LONG_MS)
  expect(estimate.expectedMs('read')).toBeCloseTo(LONG_MS, 6)
})

test('the same kind takes longer on a target of another role, and its error tells how wrong the estimate was', () => {
  const estimate = createServiceTimeEstimate({ initialMs: 15 })
  for (let i = 0; i < 50; i += 1) {
    estimate.record('read', 'replica', 10)
    estimate.record('read', 'primary', 30)
  }
  expect([estimate.expectedMs('read', 'replica'), estimate.expectedMs('read', 'primary')]).toEqual([10, 30])
  expect(estimate.record('read', 'replica', 25)).toBeCloseTo(15, 6)
})

test('a time longer than any work, as of a suspended VM, and kinds beyond the bound leave the averages as they are', () => {
  const estimate = createServiceTimeEstimate({ initialMs: 15, maxMs: 1000 })
  for (let i = 0; i < 20; i += 1) estimate.record('read', 'replica', 10)
  expect(estimate.record('read', 'replica', 60_000)).toBeCloseTo(59_990, 6)
  expect(estimate.expectedMs('read')).toBe(10)
  for (let kind = 0; kind < 10_000; kind += 1) estimate.record(`kind ${kind}`, 'primary', 10)
  expect(estimate.size()).toBeLessThanOrEqual(64)
})
