import { expect, test } from 'vitest'
import fc from 'fast-check'
import { hasReached, type LogPosition } from '@briarpick/types'
import {
  chooseReadTarget,
  createOutlierEjection,
  createResponseAverage,
  type EjectionEvent,
  type FreshnessRequirement,
  MAX_APPLY_WAIT_MS,
  type ReadCandidate,
  type TargetResult,
} from '../src/index.js'

const AIM_MS = 400
const ALL = ['a', 'b', 'c']

/** Ejection among three targets, with a clock that the test moves in steps of 50 ms. */
function startEjection () {
  let time = 0
  const ejection = createOutlierEjection({ now: () => time })
  const events: EjectionEvent[] = []
  const down = new Set<string>()
  return {
    ...ejection,
    events: () => events.map(({ event, instance }) => `${event} ${instance}`),
    last: () => events.at(-1),
    limitOf: (instance: string) => ejection.standing(instance).limit,
    down,
    /** Lets each target answer, unless it is ejected, every 50 ms. */
    run (durationMs: number, resultOf: (instance: string, i: number) => Partial<TargetResult>) {
      for (let i = 0; i < durationMs / 50; i += 1) {
        time += 50
        for (const instance of ALL) {
          if (ejection.standing(instance).limit === 0 || down.has(instance)) continue
          ejection.record(instance, { access: 'read', ms: 20, isFailure: false, aimMs: AIM_MS, ...resultOf(instance, i) })
        }
        events.push(...ejection.check(ALL.map((instance) => ({ instance, isAnswering: !down.has(instance) }))))
      }
    },
  }
}

const isSlow = (instance: string) => instance === 'a' ? { ms: 160 } : {}

test('a target that is slow though healthy is ejected, tried again, returns by steps, and is ejected for longer if it is still slow', () => {
  const { run, events, last, limitOf } = startEjection()
  run(1000, () => ({}))
  expect(events()).toEqual([])
  run(800, isSlow)
  expect(events()).toEqual(['targetEjected a'])
  expect(last()).toMatchObject({ reason: 'slow', holdMs: 1000, ejections: 1, failureShare: 0 })
  expect(limitOf('a')).toBe(0)
  run(1900, isSlow)
  expect(events()).toEqual(['targetEjected a', 'targetTrial a', 'targetReturning a', 'targetEjected a'])
  expect(last()).toMatchObject({ holdMs: 2000, ejections: 2 })
  run(5000, () => ({}))
  expect(events().slice(4)).toEqual(['targetTrial a', 'targetReturning a', 'targetReturned a'])
  expect(limitOf('a')).toBe(Infinity)
})

test('a target that fails a part of its statements is ejected, and one more after a failed trial; failures that all targets share eject none', () => {
  const { run, events, last } = startEjection()
  run(1000, (instance, i) => ({ isFailure: instance === 'b' && i % 5 < 2 }))
  expect(events()[0]).toBe('targetEjected b')
  expect(last()).toMatchObject({ reason: 'failing' })
  run(3000, (instance) => ({ isFailure: instance === 'b' }))
  expect(events().filter((event) => event === 'targetEjected b').length).toBeGreaterThan(1)
  const shared = startEjection()
  shared.run(3000, (_instance, i) => ({ isFailure: i % 5 < 2 }))
  expect(shared.events()).toEqual([])
})

test('long statements, three in a hundred at seven times the usual time, eject no target', () => {
  fc.assert(fc.property(fc.noBias(fc.array(fc.nat(99), { minLength: 300, maxLength: 300 })), (draws) => {
    const { run, events } = startEjection()
    run(5000, (instance, i) => ({ ms: draws[i + 100 * ALL.indexOf(instance)] < 3 ? 140 : 20 }))
    expect(events()).toEqual([])
  }), { seed: 27, endOnFailure: true, numRuns: 200 })
})

test('an average doubles within four responses of a target that has become slow, and one long statement raises it by a fifth', () => {
  const average = createResponseAverage()
  for (let i = 0; i < 20; i += 1) average.record(20, i)
  average.record(140, 21)
  expect(average.average(21)).toBeCloseTo(20 * 7 ** 0.1)
  for (let i = 0; i < 4; i += 1) average.record(160, 22 + i)
  expect(average.average(30)).toBeGreaterThan(2 * 20)
  expect(average.average(30_000)).toBeUndefined()
})

test('slowness that costs callers less than a tenth of their objective, and slowness of all targets, eject none', () => {
  const { run, events } = startEjection()
  run(3000, (instance) => ({ ms: instance === 'a' ? 30 : 5 }))
  run(3000, () => ({ ms: 300 }))
  expect(events()).toEqual([])
})

test('a target that serves more of the long kind of reads than others is not ejected', () => {
  const { run, events } = startEjection()
  run(5000, (instance, i) => instance === 'a' || i % 10 === 0 ? { ms: 100, aimMs: 600 } : { ms: 15, aimMs: 300 })
  expect(events()).toEqual([])
})

test('replicas that are slower under load than a primary with few reads are not ejected', () => {
  const { run, events } = startEjection()
  run(3000, (instance) => ({ ms: instance === 'c' ? 15 : 100 }))
  expect(events()).toEqual([])
})

test('a target whose first answer comes after the home has begun is used at once', () => {
  const { run, events, down, limitOf } = startEjection()
  down.add('a')
  run(200, () => ({}))
  down.clear()
  run(50, () => ({}))
  expect(events()).toEqual([])
  expect(limitOf('a')).toBe(Infinity)
})

test('at most half of the targets are ejected', () => {
  const { run, limitOf } = startEjection()
  run(1000, () => ({}))
  run(1500, (instance, i) => ({ isFailure: instance !== 'c' && i % 2 === 0 }))
  expect(ALL.filter((instance) => limitOf(instance) === 0)).toHaveLength(1)
})

test('a target that stops and comes back returns by steps; one that goes up and down is held back for longer each time', () => {
  const { run, events, down, limitOf, last } = startEjection()
  const holds: number[] = []
  run(500, () => ({}))
  for (let i = 0; i < 3; i += 1) {
    down.add('a')
    run(400, () => ({}))
    down.clear()
    run(50, () => ({}))
    if (i === 0) expect([events().at(-1), limitOf('a')]).toEqual(['targetReturning a', 1])
    else holds.push(last()?.holdMs ?? 0)
  }
  expect(holds).toEqual([2000, 4000])
  run(30_000, () => ({}))
  expect(limitOf('a')).toBe(Infinity)
})

const at = (offset: number): LogPosition => ({ term: 1, offset })
const candidates = fc.array(fc.record({
  isPrimary: fc.boolean(),
  isLocal: fc.boolean(),
  isFree: fc.boolean(),
  canAcquire: fc.boolean(),
  active: fc.nat(4),
  lagMs: fc.constantFrom(5, 30, 200),
  applied: fc.nat(4),
  isHeldBack: fc.boolean(),
}), { maxLength: 6 }).map((list) => list.map((candidate, i): ReadCandidate => ({
  ...candidate,
  isPrimary: candidate.isPrimary && i === 0,
  canAcquire: candidate.canAcquire || candidate.isFree,
  instance: `i${i}`,
  slots: 2,
  capacity: 3,
  applied: at(candidate.applied),
  received: at(4),
  receiveLagMs: 0,
  extraMs: 10,
})))
const requirements = fc.record({
  required: fc.nat(4),
  requiredAgeMs: fc.constantFrom(0, 100, Infinity),
  isFirstExcluded: fc.boolean(),
  waitMs: fc.constantFrom(0, 100),
}).map(({ required, requiredAgeMs, isFirstExcluded, waitMs }): FreshnessRequirement => ({
  required: at(required),
  requiredAgeMs,
  excluded: new Set(isFirstExcluded ? ['i1'] : []),
  expectedWaitMs: () => waitMs,
}))

/** The choice as it was made before outlier ejection. */
function chooseByLoad (all: readonly ReadCandidate[], requirement: FreshnessRequirement): ReadCandidate | undefined {
  const { required, requiredAgeMs, excluded } = requirement
  const leastLoaded = (list: readonly ReadCandidate[]) => [...list].sort((a, b) => a.active / a.slots - b.active / b.slots ||
    Number(b.isLocal) - Number(a.isLocal) || a.lagMs - b.lagMs)[0]
  const choose = (available: readonly ReadCandidate[]) => {
    const replicas = available.filter(({ isPrimary }) => !isPrimary)
    const isSoonApplied = ({ lagMs, received }: ReadCandidate) => lagMs - requiredAgeMs <= MAX_APPLY_WAIT_MS &&
      (hasReached(received, required) || requiredAgeMs < Infinity)
    return leastLoaded(replicas.filter(({ applied }) => hasReached(applied, required))) ??
      leastLoaded(replicas.filter(isSoonApplied)) ??
      available.find(({ isPrimary }) => isPrimary)
  }
  const allowed = all.filter(({ instance }) => !excluded.has(instance))
  return choose(allowed.filter(({ isFree }) => isFree)) ?? choose(allowed.filter(({ canAcquire }) => canAcquire))
}

test('while no target is held back, reads go where they went without outlier ejection', () => {
  fc.assert(fc.property(candidates, requirements, (all, requirement) => {
    const healthy = all.map((candidate) => ({ ...candidate, isHeldBack: false, extraMs: 0 }))
    expect(chooseReadTarget(healthy, requirement)).toEqual(chooseByLoad(healthy, requirement))
  }), { seed: 27, endOnFailure: true, numRuns: 5000 })
})

test('a target that is held back serves a read that no other can serve, or that would wait longer for another, and no other read', () => {
  fc.assert(fc.property(candidates, requirements, (all, requirement) => {
    const chosen = chooseReadTarget(all, requirement)
    const others = all.filter(({ isHeldBack }) => !isHeldBack)
    const other = chooseByLoad(others, requirement)
    if (other !== undefined) expect(chosen).toEqual(other)
    else if (requirement.expectedWaitMs() > 10) expect(chosen).toEqual(chooseByLoad(all, requirement))
    else if (chosen !== undefined) {
      const idle = others.map((candidate) => ({ ...candidate, isFree: true, canAcquire: true }))
      expect(chooseByLoad(idle, requirement)).toBeUndefined()
    }
  }), { seed: 27, endOnFailure: true, numRuns: 5000 })
})
