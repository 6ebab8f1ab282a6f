import fc from 'fast-check'
import { expect, test } from 'vitest'
import { hasReached, ORIGIN } from '@briarpick/types'
import { createAgeProof, createWatermarks, formatToken, readToken } from '../src/index.js'

const at = (offset: number) => ({ term: 1, offset })

test('whatever is noted and pruned, a session is never sent to a replica that lacks its last write', () => {
  const move = fc.oneof(
    fc.record({ kind: fc.constant('note' as const), session: fc.nat(5), offset: fc.nat() }),
    fc.record({ kind: fc.constant('prune' as const), session: fc.nat(5), offset: fc.nat(100) })
  )
  fc.assert(fc.property(fc.array(move, { maxLength: 80 }), fc.integer({ min: 1, max: 3 }), (moves, maxSessions) => {
    const watermarks = createWatermarks({ maxSessions })
    const last = new Map<string, number>()
    let offset = 0
    for (const { kind, session, offset: slowest } of moves) {
      if (kind === 'prune') {
        watermarks.prune(at(slowest))
        continue
      }
      offset += 1
      watermarks.note(`s${session}`, at(offset))
      last.set(`s${session}`, offset)
    }
    for (const [session, written] of last) expect(hasReached(watermarks.of(session), at(written))).toBe(true)
    expect(hasReached(watermarks.of(undefined), offset === 0 ? ORIGIN : at(offset))).toBe(true)
    expect(watermarks.size()).toBeLessThanOrEqual(maxSessions)
  }), { seed: 3, numRuns: 300, endOnFailure: true })
})

test('a session whose writes are on every replica costs no memory and waits for nobody', () => {
  const watermarks = createWatermarks({ maxSessions: 10 })
  watermarks.note('a', at(5))
  watermarks.note('b', at(9))
  watermarks.prune(at(7))
  expect(watermarks.size()).toBe(1)
  expect(watermarks.of('a')).toEqual(at(5))
  expect(watermarks.of('c')).toEqual(at(5))
})

test('an age is proved by the newest sample that the replica has reached', () => {
  const ages = createAgeProof({ maxSamples: 3 })
  expect(ages.ageOf(at(9), 100)).toBe(Infinity)
  ages.sample(at(5), 100)
  ages.sample(at(9), 200)
  expect(ages.ageOf(at(4), 300)).toBe(Infinity)
  expect(ages.ageOf(at(7), 300)).toBe(200)
  expect(ages.ageOf(at(9), 300)).toBe(100)
})

test('tokens are read as they were written, and nothing else is', () => {
  expect(readToken(formatToken({ term: 3, offset: 41 }))).toEqual({ term: 3, offset: 41 })
  for (const text of ['', 'bp1.1', 'bp2.1.1', 'bp1.-1.2', 'bp1.1.2.3']) expect(readToken(text)).toBeUndefined()
})
