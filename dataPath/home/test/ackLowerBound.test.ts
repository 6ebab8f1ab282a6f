import { expect, test } from 'vitest'
import fc from 'fast-check'
import { hasReached, laterOf, type LogPosition, ORIGIN } from '@briarpick/types'
import { createAckLowerBound } from '../src/createAckLowerBound.js'

const at = (offset: number, term = 1): LogPosition => ({ term, offset })

interface Write {
  readonly followed: LogPosition
  position?: LogPosition
}

/** What happens next: a write is sent, commits, or is answered, each chosen by `n`; or the primary changes. */
const STEP = fc.record({ kind: fc.constantFrom('send', 'send', 'commit', 'commit', 'answer', 'answer', 'lose', 'promote'), n: fc.nat({ max: 7 }) })

test('the bound never exceeds the last acknowledged write, whatever is in flight at once, lost on its way, or acknowledged in another order', () => {
  let bounds = 0
  fc.assert(fc.property(fc.array(STEP, { minLength: 20, maxLength: 80, size: 'max' }), (steps) => {
    const bound = createAckLowerBound()
    let term = 1
    let end = at(5)
    let known = end
    let acknowledged = ORIGIN
    let open: Write[] = []
    const take = (n: number, hasPosition: boolean) => {
      const matching = open.filter(({ position }) => (position !== undefined) === hasPosition)
      return matching[n % Math.max(1, matching.length)]
    }
    for (const { kind, n } of steps) {
      if (kind === 'send') open.push({ followed: known })
      if (kind === 'promote') {
        term += 1
        open = []
      }
      const write = kind === 'commit' ? take(n, false) : take(n, true)
      if (write === undefined) continue
      if (kind === 'commit') {
        end = at(end.offset + 1, term)
        write.position = end
      } else if (kind === 'answer' || kind === 'lose') {
        open = open.filter((each) => each !== write)
        if (kind === 'lose' || write.position === undefined) continue
        // The answer shows the end of the primary's log, which may be beyond the write.
        bound.record(end, write.followed)
        known = end
        acknowledged = laterOf(acknowledged, write.position)
      }
      expect(hasReached(acknowledged, bound.position())).toBe(true)
      if (bound.position().offset > 0) bounds += 1
    }
  }), { seed: 20261205, numRuns: 2000, endOnFailure: true })
  expect(bounds).toBeGreaterThan(1000)
})

test('the bound is exact while each write is sent after the answer to the one before it, and for writes at once that are all answered', () => {
  const bound = createAckLowerBound()
  expect(bound.position()).toEqual(ORIGIN)
  bound.record(at(6), at(5))
  bound.record(at(7), at(6))
  expect(bound.position()).toEqual(at(7))
  for (const offset of [9, 8, 10]) bound.record(at(offset === 9 ? 10 : offset), at(7))
  expect(bound.position()).toEqual(at(9))
  bound.record(at(10), at(7))
  expect(bound.position()).toEqual(at(10))
})

test('offsets of an earlier term say nothing about a write of the next one, except that it is later', () => {
  const bound = createAckLowerBound()
  bound.record(at(9), at(8))
  bound.record(at(7, 2), at(9))
  expect(bound.position()).toEqual(at(1, 2))
  bound.record(at(10), at(9))
  expect(bound.position()).toEqual(at(1, 2))
  bound.record(at(8, 2), at(7, 2))
  expect(bound.position()).toEqual(at(8, 2))
})

test('a bound over thousands of writes of two connections stays close to the last of them', () => {
  const bound = createAckLowerBound()
  for (let offset = 2; offset <= 5000; offset += 1) bound.record(at(offset), at(offset - 2))
  expect(bound.position().offset).toBeGreaterThanOrEqual(4999)
})
