import { expect, test } from 'vitest'
import fc from 'fast-check'
import { type Freshness, hasReached, type LogPosition, ORIGIN, type StatementRequest } from '@briarpick/types'
import { createAckHistory } from '../src/createAckHistory.js'
import { mayReadAfterLease } from '../src/mayReadAfterLease.js'

const BOUND_MS = 1500
/** Largest difference between the rates of two clocks. */
const MAX_DRIFT = 0.05
const at = (offset: number): LogPosition => ({ term: 1, offset })
const readOf = (freshness: Freshness): StatementRequest => ({
  database: 'd',
  id: '1',
  team: null,
  transaction: null,
  begins: null,
  beginId: null,
  action: { kind: 'query', access: 'read', text: 'READ a' },
  values: [],
  freshness,
  priority: 1,
  aimMs: 100,
  ageMs: 0,
  deadlineMs: 1000,
})

test('no read after the end of a lease misses what was acknowledged longer ago than it accepts, whenever the next home begins', () => {
  const history = fc.record({
    /** Times of the acknowledgements of this home before the end of its lease, and of the next one after it, in real ms. */
    ackTimes: fc.uniqueArray(fc.nat(8000), { minLength: 1, maxLength: 60 }),
    leaseEnd: fc.integer({ min: 1000, max: 6000 }),
    /** Rate of this home's clock. */
    rate: fc.double({ min: 1 - MAX_DRIFT, max: 1 + MAX_DRIFT, noNaN: true }),
    maxAgeMs: fc.integer({ min: 0, max: 3000 }),
    reads: fc.array(fc.nat(10_000), { minLength: 1, maxLength: 30 }),
  })
  let served = 0
  fc.assert(fc.property(history, ({ ackTimes, leaseEnd, rate, maxAgeMs, reads }) => {
    const acks = [...ackTimes].sort((a, b) => a - b).map((time, i) => ({ time, position: at(i + 1) }))
    // The lease ends when this home's clock shows its end; clocks are compared from then on.
    const clockAt = (time: number) => leaseEnd + (time - leaseEnd) * rate
    const home = createAckHistory()
    home.setFloor(ORIGIN)
    for (const { time, position } of acks) if (time < leaseEnd) home.record(position, clockAt(time))
    for (const time of reads.filter((read) => read >= leaseEnd)) {
      const freshness = { current: false, maxAgeMs, seen: null }
      const now = clockAt(time)
      if (!mayReadAfterLease(readOf(freshness), { leaseEnd, now })) continue
      served += 1
      const required = home.requiredPosition(freshness, now) ?? ORIGIN
      for (const ack of acks) if (ack.time <= time - maxAgeMs) expect(hasReached(required, ack.position)).toBe(true)
    }
  }), { numRuns: 500, seed: 33, endOnFailure: true })
  expect(served).toBeGreaterThan(100)
})

test('reads within their bound outlive the lease, and are refused past it', () => {
  const read = readOf({ current: false, maxAgeMs: BOUND_MS, seen: null })
  expect(mayReadAfterLease(read, { leaseEnd: 1000, now: 1001 })).toBe(true)
  expect(mayReadAfterLease(read, { leaseEnd: 1000, now: 1000 + BOUND_MS * 0.9 })).toBe(true)
  expect(mayReadAfterLease(read, { leaseEnd: 1000, now: 1000 + BOUND_MS })).toBe(false)
  expect(mayReadAfterLease(read, { leaseEnd: -Infinity, now: 1001 })).toBe(false)
})

test('reads that require the last write, writes and transactions do not outlive the lease', () => {
  const lease = { leaseEnd: 1000, now: 1001 }
  const read = readOf({ current: false, maxAgeMs: BOUND_MS, seen: null })
  expect(mayReadAfterLease(read, lease)).toBe(true)
  expect(mayReadAfterLease({ ...read, freshness: { ...read.freshness, current: true } }, lease)).toBe(false)
  expect(mayReadAfterLease({ ...read, freshness: { ...read.freshness, maxAgeMs: 0 } }, lease)).toBe(false)
  expect(mayReadAfterLease({ ...read, action: { kind: 'query', access: 'write', text: 'WRITE a b' } }, lease)).toBe(false)
  expect(mayReadAfterLease({ ...read, transaction: 't', begins: 'read' }, lease)).toBe(false)
  expect(mayReadAfterLease({ ...read, transaction: 't' }, lease)).toBe(false)
})
