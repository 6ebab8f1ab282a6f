import fc from 'fast-check'
import { expect, test } from 'vitest'
import { createCluster, createLedCluster, IDS, nodeWith, randomFrom, sentTo, TIMING } from './cluster.js'

const moveArbitrary = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('advance' as const), value: fc.integer({ min: 1, max: 120 }) }) },
  { weight: 16, arbitrary: fc.record({ kind: fc.constant('deliver' as const), value: fc.nat(200) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('repeat' as const), value: fc.nat(200) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('drop' as const), value: fc.nat(200) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('propose' as const), value: fc.nat(1000) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('restart' as const), value: fc.nat(2) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('restartAll' as const), value: fc.nat(2) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('cut' as const), value: fc.nat(2) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('heal' as const), value: fc.nat(2) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('compact' as const), value: fc.nat(2) }) }
)

test('no schedule of losses, repeats, cuts and restarts breaks the agreement', () => {
  fc.assert(fc.property(fc.array(moveArbitrary, { minLength: 200, maxLength: 900 }), fc.integer(), (moves, seed) => {
    const cluster = createCluster(randomFrom(seed))
    const handlers = {
      advance: (value: number) => cluster.advance(value),
      deliver: (value: number) => cluster.deliver(value, false),
      repeat: (value: number) => cluster.deliver(value, true),
      drop: (value: number) => cluster.drop(value),
      propose: (value: number) => cluster.propose(`c${value}`),
      restart: (value: number) => cluster.restart(IDS[value]),
      restartAll: () => IDS.forEach(cluster.restart),
      cut: (value: number) => cluster.cut.add(IDS[value]),
      heal: (value: number) => cluster.cut.delete(IDS[value]),
      compact: (value: number) => cluster.compact(IDS[value]),
    }
    for (const { kind, value } of moves) handlers[kind](value)
    const chosenBefore = Math.max(0, ...cluster.chosen.keys())
    cluster.cut.clear()
    for (let round = 0; round < 100; round++) {
      cluster.advance(30)
      cluster.deliverAll()
    }
    cluster.propose('last')
    for (let round = 0; round < 20; round++) {
      cluster.advance(30)
      cluster.deliverAll()
    }
    for (const id of IDS) expect(cluster.applied.get(id), `what ${id} applied`).toBeGreaterThan(chosenBefore)
  }), { seed: 20_261_203, numRuns: 150, endOnFailure: true })
})

test('a leader that hears from no quorum stops counting as confirmed', () => {
  const { cluster, leader } = createLedCluster()
  cluster.cut.add(leader)
  cluster.advance(TIMING.electionMinMs)
  cluster.deliverAll()
  expect(cluster.isConfirmed(leader)).toBe(false)
})

test('a node that heard from a leader lately gives no vote, so that a confirmed leader stays the only one', () => {
  const node = nodeWith([], 1)
  const heartbeat = { kind: 'append', term: 1, prevIndex: 0, prevTerm: 0, entries: [], commit: 0, sentAt: 0 } as const
  node.step({ kind: 'message', from: IDS[1], message: heartbeat }, 1000)
  const request = { kind: 'voteRequest', pre: false, term: 2, lastIndex: 9, lastTerm: 1 } as const
  const early = node.step({ kind: 'message', from: IDS[2], message: request }, 1000 + TIMING.electionMinMs - 1)
  expect(sentTo(early, IDS[2])).toEqual([{ kind: 'voteReply', pre: false, term: 1, granted: false }])
  const late = node.step({ kind: 'message', from: IDS[2], message: request }, 1000 + TIMING.electionMinMs)
  expect(sentTo(late, IDS[2])).toEqual([{ kind: 'voteReply', pre: false, term: 2, granted: true }])
})

test('a jump of its clock makes a node forget neither the leader that it heard nor that time has to pass', () => {
  const node = nodeWith([], 1)
  const heartbeat = { kind: 'append', term: 1, prevIndex: 0, prevTerm: 0, entries: [], commit: 0, sentAt: 0 } as const
  node.step({ kind: 'message', from: IDS[1], message: heartbeat }, 1000)
  const jumpedTo = 1000 + 10 * TIMING.electionMaxMs
  node.step({ kind: 'jumped' }, jumpedTo)
  expect(node.step({ kind: 'tick' }, jumpedTo + 1)).toEqual([])
  const request = { kind: 'voteRequest', pre: false, term: 2, lastIndex: 9, lastTerm: 1 } as const
  const early = node.step({ kind: 'message', from: IDS[2], message: request }, jumpedTo + TIMING.electionMinMs - 1)
  expect(sentTo(early, IDS[2])).toMatchObject([{ granted: false }])
})

test('a leader does not count an entry of an earlier term as chosen by itself', () => {
  const node = nodeWith([{ index: 1, term: 1, body: { kind: 'command', command: 'old' } }], 1)
  node.step({ kind: 'tick' }, TIMING.electionMaxMs)
  node.step({ kind: 'message', from: IDS[1], message: { kind: 'voteReply', pre: true, term: 2, granted: true } }, 700)
  node.step({ kind: 'message', from: IDS[1], message: { kind: 'voteReply', pre: false, term: 2, granted: true } }, 700)
  expect(node.status().role).toBe('leader')
  const reply = { kind: 'appendReply', term: 2, ok: true, sentAt: 700 } as const
  const afterOld = node.step({ kind: 'message', from: IDS[1], message: { ...reply, match: 1 } }, 710)
  expect(afterOld.filter(({ kind }) => kind === 'apply')).toHaveLength(0)
  const afterOwn = node.step({ kind: 'message', from: IDS[1], message: { ...reply, match: 2 } }, 720)
  expect(afterOwn.filter(({ kind }) => kind === 'apply')).toHaveLength(2)
})
