import fc from 'fast-check'
import { expect, test } from 'vitest'
import { hasReached } from '@briarpick/types'
import { routeRead } from '../src/index.js'

const candidateArbitrary = fc.record({
  instance: fc.constantFrom('b', 'c', 'd'),
  isPrimary: fc.constant(false),
  usable: fc.boolean(),
  hasFreeSlot: fc.boolean(),
  position: fc.record({ term: fc.constant(1), offset: fc.nat(20) }),
  active: fc.nat(3),
  sameDataCentre: fc.boolean(),
})
const primary = { instance: 'a', isPrimary: true, usable: true, hasFreeSlot: true, position: { term: 1, offset: 20 }, active: 0, sameDataCentre: true }

test('a read is routed only to a usable replica that has reached its watermark and is within its maximum age', () => {
  const replicasArbitrary = fc.uniqueArray(candidateArbitrary, { selector: ({ instance }) => instance })
  fc.assert(fc.property(replicasArbitrary, fc.nat(20), fc.option(fc.nat(20)), (replicas, offset, age) => {
    const requirements = { watermark: { term: 1, offset }, maxAgeMs: age ?? undefined, waitedMs: 1000 }
    const route = routeRead([...replicas, primary], requirements, { replicaWaitMs: 100, ageOf: (position) => 20 - position.offset })
    if (route.kind === 'wait' || route.instance === 'a') return
    const chosen = replicas.find(({ instance }) => instance === route.instance)
    expect(chosen?.usable).toBe(true)
    expect(hasReached(chosen?.position ?? { term: 0, offset: 0 }, requirements.watermark)).toBe(true)
    if (age !== null) expect(20 - (chosen?.position.offset ?? 0)).toBeLessThanOrEqual(age)
  }), { seed: 4, numRuns: 500, endOnFailure: true })
})

test('a read waits for a lagging replica first and falls back to the primary after the replica wait', () => {
  const lagging = { ...primary, instance: 'b', isPrimary: false, position: { term: 1, offset: 3 } }
  const requirements = { watermark: { term: 1, offset: 5 }, waitedMs: 0 }
  const opts = { replicaWaitMs: 100, ageOf: () => 0 }
  expect(routeRead([primary, lagging], requirements, opts)).toEqual({ kind: 'wait', waitFor: 'position' })
  expect(routeRead([primary, lagging], { ...requirements, waitedMs: 100 }, opts)).toEqual({ kind: 'target', instance: 'a' })
  expect(routeRead([lagging], { ...requirements, waitedMs: 100 }, opts)).toEqual({ kind: 'wait', waitFor: 'primary' })
})
