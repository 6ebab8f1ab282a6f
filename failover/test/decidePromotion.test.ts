import { expect, test } from 'vitest'
import fc from 'fast-check'
import { type LogPosition } from '@briarpick/types'
import { choosePromotionTarget, decidePromotion, type PrimaryHealth, type PromotionCandidate, type PromotionInput } from '../src/index.js'

const POLICY = { refusedAfterMs: 120, silentAfterMs: 900, stuckAfterMs: 700, starvedAfterMs: 1500 }
const at = (offset: number, term = 1): LogPosition => ({ term, offset })
const HEALTHY: PrimaryHealth = { instance: 'a', state: 'serving', silentMs: 0, refusedMs: 0, isDemoted: false, stuckMs: 0 }

function replica (instance: string, offset: number, changes: Partial<PromotionCandidate> = {}): PromotionCandidate {
  return { instance, state: 'serving', isLiveReplica: true, received: at(offset), statusRequestedAt: 100, ...changes }
}

function input (change: Partial<PromotionInput> = {}): PromotionInput {
  return { primary: HEALTHY, others: [replica('b', 10), replica('c', 9)], acknowledged: at(10), provenAcknowledged: at(0, 0), lastAcknowledgedAt: 60, acknowledgedBeforeLoss: at(0, 0), homeExclusiveSince: 50, copies: 3, ...change }
}

test('a primary that answers is kept, however far its replicas lag', () => {
  expect(decidePromotion(input({ others: [replica('b', 0)] }), POLICY)).toEqual({ kind: 'keep' })
})

test('a short silence, a single refused connection or a slow write does not replace the primary', () => {
  for (const change of [{ silentMs: 800 }, { refusedMs: 60 }, { stuckMs: 500 }]) {
    expect(decidePromotion(input({ primary: { ...HEALTHY, ...change } }), POLICY)).toEqual({ kind: 'keep' })
  }
})

test('each reason to replace the primary promotes the replica that holds every acknowledged write', () => {
  const losses: ReadonlyArray<readonly [string, Partial<PrimaryHealth>]> = [
    ['silent', { silentMs: 900 }], ['refused', { refusedMs: 120 }], ['stuck', { stuckMs: 700 }], ['demoted', { isDemoted: true }], ['leaving', { state: 'leaving' }], ['starved', { starvedMs: 1500 }],
  ]
  for (const [loss, change] of losses) {
    expect(decidePromotion(input({ primary: { ...HEALTHY, ...change } }), POLICY)).toEqual({ kind: 'promote', loss, heir: 'b' })
  }
})

test('promotion waits while the only replica that holds the acknowledged writes is unreachable', () => {
  const others = [replica('b', 10, { isLiveReplica: false }), replica('c', 9)]
  expect(decidePromotion(input({ primary: undefined, others }), POLICY)).toEqual({ kind: 'wait', loss: 'silent' })
})

test('after a simultaneous loss of home and primary, the most advanced replica is promoted only once the new home has queried all other targets', () => {
  const withoutPrimary = { primary: undefined, acknowledged: undefined }
  expect(decidePromotion(input(withoutPrimary), POLICY)).toMatchObject({ kind: 'promote', heir: 'b' })
  expect(decidePromotion(input({ ...withoutPrimary, others: [replica('b', 10), replica('c', 9, { statusRequestedAt: 10 })] }), POLICY).kind).toBe('wait')
  expect(decidePromotion(input({ ...withoutPrimary, others: [replica('b', 10), replica('c', 0, { isLiveReplica: false })] }), POLICY).kind).toBe('wait')
  expect(decidePromotion(input({ ...withoutPrimary, others: [replica('b', 10)] }), POLICY).kind).toBe('wait')
})

test('a leaving replica is not promoted, but its received position still counts', () => {
  const withoutPrimary = { primary: undefined, acknowledged: undefined }
  const leaving = replica('b', 10, { state: 'leaving' })
  expect(decidePromotion(input({ ...withoutPrimary, others: [leaving, replica('c', 9)] }), POLICY).kind).toBe('wait')
  expect(decidePromotion(input({ ...withoutPrimary, others: [leaving, replica('c', 10)] }), POLICY)).toMatchObject({ heir: 'c' })
})

test('the promoted replica holds every acknowledged write, for any received positions and any unreachable, leaving or unqueried replicas', () => {
  const copy = fc.record({
    received: fc.integer({ min: 0, max: 20 }),
    isLiveReplica: fc.boolean(),
    statusRequestedAt: fc.constantFrom(0, 100),
    state: fc.constantFrom('serving' as const, 'leaving' as const),
  })
  const copiesOf = fc.array(copy, { minLength: 0, maxLength: 3 })
  fc.assert(fc.property(copiesOf, fc.integer({ min: 0, max: 20 }), fc.boolean(), (copies, primary, isKnown) => {
    // A write is acknowledged once the primary and one replica have received it.
    const acknowledged = Math.min(primary, Math.max(0, ...copies.map(({ received }) => received)))
    const others = copies.map(({ received, ...rest }, i) => replica(`r${i}`, received, rest))
    const known = isKnown ? at(acknowledged) : undefined
    const heir = choosePromotionTarget(input({ primary: undefined, others, acknowledged: known, copies: copies.length + 1 }))
    const chosen = others.find(({ instance }) => instance === heir)
    return chosen === undefined || (chosen.isLiveReplica && chosen.state === 'serving' && chosen.received.offset >= acknowledged)
  }), { seed: 20261204, numRuns: 2000, endOnFailure: true })
})

test('a status that is older than the last acknowledgement, or read over a connection that has closed, proves nothing', () => {
  const behind = { primary: undefined, acknowledged: at(12) }
  expect(decidePromotion(input(behind), POLICY)).toMatchObject({ kind: 'promote', heir: 'b' })
  expect(decidePromotion(input({ ...behind, lastAcknowledgedAt: 101 }), POLICY).kind).toBe('wait')
  const closed = replica('b', 12, { statusRequestedAt: -Infinity })
  expect(decidePromotion(input({ ...behind, others: [closed, replica('c', 9)] }), POLICY).kind).toBe('wait')
})

test('what a target that has left may have confirmed must be on the replica that is promoted', () => {
  const behind = { primary: undefined, acknowledged: at(12) }
  expect(decidePromotion(input({ ...behind, acknowledgedBeforeLoss: at(11) }), POLICY).kind).toBe('wait')
  expect(decidePromotion(input({ ...behind, acknowledgedBeforeLoss: undefined }), POLICY).kind).toBe('wait')
  expect(decidePromotion(input({ ...behind, acknowledgedBeforeLoss: at(10) }), POLICY)).toMatchObject({ kind: 'promote', heir: 'b' })
})

test('a replica without any record does not count as asked: it may have restarted without the log that it had', () => {
  const unknown = { primary: undefined, acknowledged: undefined }
  expect(decidePromotion(input({ ...unknown, others: [replica('b', 10), replica('c', 0)] }), POLICY).kind).toBe('wait')
})

// Guards against LOST: a copy that control had removed while it ran confirmed writes, and one that lacked them was promoted.
test('a replica below a position that is proven to be acknowledged is not promoted, although no known target is more advanced', () => {
  const alone = { primary: undefined, others: [replica('b', 9)], acknowledged: at(12), copies: 2 }
  expect(decidePromotion(input({ ...alone, provenAcknowledged: at(9) }), POLICY)).toMatchObject({ kind: 'promote', heir: 'b' })
  expect(decidePromotion(input({ ...alone, provenAcknowledged: at(10) }), POLICY)).toEqual({ kind: 'wait', loss: 'silent' })
  const known = { ...alone, others: [replica('b', 9), replica('c', 11)], copies: 3, provenAcknowledged: at(10) }
  expect(decidePromotion(input(known), POLICY)).toMatchObject({ kind: 'promote', heir: 'c' })
})
