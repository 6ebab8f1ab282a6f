import fc from 'fast-check'
import { expect, test } from 'vitest'
import { hasReached, ORIGIN } from '@briarpick/types'
import { createAgeBound, createWatermarks, formatToken, readToken } from '../src/index.js'

const at = (offset: number) => ({ term: 1, offset })

test("no sequence of writes and prunes lowers a session's watermark below its last write, or keeps more than the maximum number of sessions", () => {
  const operationArbitrary = fc.oneof(
    fc.record({ kind: fc.constant('record' as const), session: fc.nat(5), offset: fc.nat() }),
    fc.record({ kind: fc.constant('prune' as const), session: fc.nat(5), offset: fc.nat(100) })
  )
  fc.assert(fc.property(fc.array(operationArbitrary, { maxLength: 80 }), fc.integer({ min: 1, max: 3 }), (operations, maxSessions) => {
    const watermarks = createWatermarks({ maxSessions })
    const last = new Map<string, number>()
    let offset = 0
    for (const { kind, session, offset: slowest } of operations) {
      if (kind === 'prune') {
        watermarks.prune(at(slowest))
        continue
      }
      offset += 1
      watermarks.record(`s${session}`, at(offset))
      last.set(`s${session}`, offset)
    }
    for (const [session, written] of last) expect(hasReached(watermarks.positionFor(session), at(written))).toBe(true)
    expect(hasReached(watermarks.positionFor(undefined), offset === 0 ? ORIGIN : at(offset))).toBe(true)
    expect(watermarks.size()).toBeLessThanOrEqual(maxSessions)
  }), { seed: 3, numRuns: 300, endOnFailure: true })
})

test('a session whose writes every replica has is removed and falls back to the floor', () => {
  const watermarks = createWatermarks({ maxSessions: 10 })
  watermarks.record('a', at(5))
  watermarks.record('b', at(9))
  watermarks.prune(at(7))
  expect(watermarks.size()).toBe(1)
  expect(watermarks.positionFor('a')).toEqual(at(5))
  expect(watermarks.positionFor('c')).toEqual(at(5))
})

test('an age is bounded by the newest sample that the replica has reached', () => {
  const ageBound = createAgeBound({ maxSamples: 3 })
  expect(ageBound.ageOf(at(9), 100)).toBe(Infinity)
  ageBound.addSample(at(5), 100)
  ageBound.addSample(at(9), 200)
  expect(ageBound.ageOf(at(4), 300)).toBe(Infinity)
  expect(ageBound.ageOf(at(7), 300)).toBe(200)
  expect(ageBound.ageOf(at(9), 300)).toBe(100)
})

test('formatted tokens are parsed to the same position, and malformed tokens are rejected', () => {
  expect(readToken(formatToken({ term: 3, offset: 41 }))).toEqual({ term: 3, offset: 41 })
  for (const text of ['', 'bp1.1', 'bp2.1.1', 'bp1.-1.2', 'bp1.1.2.3']) expect(readToken(text)).toBeUndefined()
})
