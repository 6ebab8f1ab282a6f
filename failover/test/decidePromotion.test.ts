import { expect, test } from 'vitest'
import fc from 'fast-check'
import { type LogPosition } from '@briarpick/types'
import { choosePromotionTarget, decidePromotion, type PrimaryHealth, type PromotionCandidate, type PromotionInput } from '../src/index.js'

const POLICY = { refusedAfterMs: 120, silentAfterMs: 900, stuckAfterMs: 700, starvedAfterMs: 1500 }
const at = (offset: number, term = 1): LogPosition => ({ term, offset })
const WELL: PrimaryHealth = { instance: 'a', state: 'serving', silentMs: 0, refusedMs: 0, isDemoted: false, stuckMs: 0 }

function replica (instance: string, offset: number, change: Partial<PromotionCandidate> = {}): PromotionCandidate {
  return { instance, state: 'serving', isLiveReplica: true, received: at(offset), statusAskedAt: 100, ...change }
}

function input (change: Partial<PromotionInput> = {}): PromotionInput {
  return { primary: WELL, others: [replica('b', 10), replica('c', 9)], acknowledged: at(10), homeExclusiveSince: 50, copies: 3, ...change }
}

test('a primary that answers stays, however far its replicas are behind', () => {
  expect(decidePromotion(input({ others: [replica('b', 0)] }), POLICY)).toEqual({ kind: 'keep' })
})

test('a short silence, a single refused connection and a slow write are no loss', () => {
  for (const change of [{ silentMs: 800 }, { refusedMs: 60 }, { stuckMs: 500 }]) {
    expect(decidePromotion(input({ primary: { ...WELL, ...change } }), POLICY)).toEqual({ kind: 'keep' })
  }
})

test('each kind of loss promotes the replica that holds every acknowledged write', () => {
  const losses: ReadonlyArray<readonly [string, Partial<PrimaryHealth>]> = [
    ['silent', { silentMs: 900 }], ['refused', { refusedMs: 120 }], ['stuck', { stuckMs: 700 }], ['demoted', { isDemoted: true }], ['leaving', { state: 'leaving' }], ['starved', { starvedMs: 1500 }],
  ]
  for (const [loss, change] of losses) {
    expect(decidePromotion(input({ primary: { ...WELL, ...change } }), POLICY)).toEqual({ kind: 'promote', loss, heir: 'b' })
  }
})

test('with the only replica that holds the acknowledged writes dark, the promotion waits', () => {
  const others = [replica('b', 10, { isLiveReplica: false }), replica('c', 9)]
  expect(decidePromotion(input({ primary: undefined, others }), POLICY)).toEqual({ kind: 'wait', loss: 'silent' })
})

test('home and primary lost together: the furthest is promoted only once all other copies were asked by the new home', () => {
  const lost = { primary: undefined, acknowledged: undefined }
  expect(decidePromotion(input(lost), POLICY)).toMatchObject({ kind: 'promote', heir: 'b' })
  expect(decidePromotion(input({ ...lost, others: [replica('b', 10), replica('c', 9, { statusAskedAt: 10 })] }), POLICY).kind).toBe('wait')
  expect(decidePromotion(input({ ...lost, others: [replica('b', 10), replica('c', 0, { isLiveReplica: false })] }), POLICY).kind).toBe('wait')
  expect(decidePromotion(input({ ...lost, others: [replica('b', 10)] }), POLICY).kind).toBe('wait')
})

test('a replica that is leaving is not promoted, but what it received still counts', () => {
  const lost = { primary: undefined, acknowledged: undefined }
  const leaving = replica('b', 10, { state: 'leaving' })
  expect(decidePromotion(input({ ...lost, others: [leaving, replica('c', 9)] }), POLICY).kind).toBe('wait')
  expect(decidePromotion(input({ ...lost, others: [leaving, replica('c', 10)] }), POLICY)).toMatchObject({ heir: 'c' })
})

test('whatever was received, lost and asked, the heir holds every write that one replica had received when it was acknowledged', () => {
  const copy = fc.record({
    received: fc.integer({ min: 0, max: 20 }),
    isLiveReplica: fc.boolean(),
    statusAskedAt: fc.constantFrom(0, 100),
    state: fc.constantFrom('serving' as const, 'leaving' as const),
  })
  const copiesOf = fc.array(copy, { minLength: 0, maxLength: 3 })
  fc.assert(fc.property(copiesOf, fc.integer({ min: 0, max: 20 }), fc.boolean(), (copies, primary, isKnown) => {
    // A write is acknowledged once the primary and one replica have it.
    const acknowledged = Math.min(primary, Math.max(0, ...copies.map(({ received }) => received)))
    const others = copies.map(({ received, ...rest }, i) => replica(`r${i}`, received, rest))
    const known = isKnown ? at(acknowledged) : undefined
    const heir = choosePromotionTarget(input({ primary: undefined, others, acknowledged: known, copies: copies.length + 1 }))
    const chosen = others.find(({ instance }) => instance === heir)
    return chosen === undefined || (chosen.isLiveReplica && chosen.state === 'serving' && chosen.received.offset >= acknowledged)
  }), { seed: 20261204, numRuns: 2000, endOnFailure: true })
})
