import { expect, test } from 'vitest'
import fc from 'fast-check'
import { type VoterSet } from '@briarpick/consensus-agreement'
import { nextVoters, nodeName, type NodeObservation } from '../src/index.js'
import { checkJoinRequest } from '../src/requestSchemas.js'

const CAUGHT_UP: NodeObservation = { silentMs: 10, lagEntries: 0, hasRequestedJoin: false }
const SILENT: NodeObservation = { ...CAUGHT_UP, silentMs: 4000 }
const observations = (entries: Readonly<Record<string, NodeObservation>>) => new Map(Object.entries(entries))
const THREE: VoterSet = { voters: ['a:1', 'b:1', 'c:1'], learners: [] }
const OPTS = { desiredVoters: 3, self: 'a:1' }

test('a node that requests to join becomes a learner, and its earlier identity is removed from the voters', () => {
  const observed = observations({ 'a:1': CAUGHT_UP, 'b:1': CAUGHT_UP, 'c:1': SILENT, 'c:2': { ...CAUGHT_UP, hasRequestedJoin: true } })
  expect(nextVoters(THREE, observed, OPTS)).toEqual({ voters: ['a:1', 'b:1'], learners: ['c:2'] })
})

// Guards against a voter that is taken for another one: IPv6 addresses, which are names of nodes, are the same up to their first colon.
test('nodes whose names have colons are told apart, and one that joins removes no other voter', () => {
  const set: VoterSet = { voters: ['fd00::1:first', 'fd00::2:first', 'fd00::3:first'], learners: [] }
  const silentMs = 4000
  const observed = observations({ 'fd00::3:first': { ...CAUGHT_UP, silentMs }, 'fd00::4:x': { ...CAUGHT_UP, hasRequestedJoin: true } })
  expect(nextVoters(set, observed, { ...OPTS, self: 'fd00::1:first' })).toEqual({ ...set, learners: ['fd00::4:x'] })
  expect(set.voters.map(nodeName)).toEqual(['fd00::1', 'fd00::2', 'fd00::3'])
  expect(checkJoinRequest({ id: 'fd00::4:x' })).toEqual({ id: 'fd00::4:x' })
  for (const id of ['fd00', ':x', 'a:', 'a b:x']) expect(() => checkJoinRequest({ id })).toThrow(/must have the form/)
})

test('a learner becomes a voter only once it has caught up, and only up to the desired number of voters', () => {
  const set: VoterSet = { voters: ['a:1', 'b:1'], learners: ['d:1'] }
  expect(nextVoters(set, observations({ 'a:1': CAUGHT_UP, 'b:1': CAUGHT_UP, 'd:1': { ...CAUGHT_UP, lagEntries: 9 } }), OPTS)).toBeUndefined()
  expect(nextVoters(set, observations({ 'a:1': CAUGHT_UP, 'b:1': CAUGHT_UP, 'd:1': CAUGHT_UP }), OPTS)?.voters).toEqual(['a:1', 'b:1', 'd:1'])
  const full = { ...THREE, learners: ['d:1'] }
  expect(nextVoters(full, observations({ 'a:1': CAUGHT_UP, 'b:1': CAUGHT_UP, 'c:1': CAUGHT_UP, 'd:1': CAUGHT_UP }), OPTS)).toBeUndefined()
})

test('a silent voter of an odd set is replaced only once a learner has caught up: the learner is promoted first, so that the set never shrinks', () => {
  const observed = { 'a:1': CAUGHT_UP, 'b:1': CAUGHT_UP, 'c:1': SILENT }
  expect(nextVoters(THREE, observations(observed), OPTS)).toBeUndefined()
  const lagging = observations({ ...observed, 'd:1': { ...CAUGHT_UP, lagEntries: 9 } })
  expect(nextVoters({ ...THREE, learners: ['d:1'] }, lagging, OPTS)).toBeUndefined()
  const withLearner = observations({ ...observed, 'd:1': CAUGHT_UP })
  const promoted = nextVoters({ ...THREE, learners: ['d:1'] }, withLearner, OPTS)
  expect(promoted).toEqual({ voters: ['a:1', 'b:1', 'c:1', 'd:1'], learners: [] })
  expect(nextVoters(promoted ?? THREE, withLearner, OPTS)).toEqual({ voters: ['a:1', 'b:1', 'd:1'], learners: [] })
})

test('a silent voter of an even set is removed without a successor, the one that has been silent for longest first', () => {
  const four: VoterSet = { voters: ['a:1', 'b:1', 'c:1', 'd:1'], learners: [] }
  const observed = { 'a:1': CAUGHT_UP, 'b:1': CAUGHT_UP, 'c:1': SILENT, 'd:1': { ...SILENT, silentMs: 9000 } }
  expect(nextVoters(four, observations(observed), { ...OPTS, desiredVoters: 5 })).toEqual({ voters: ['a:1', 'b:1', 'c:1'], learners: [] })
  const lagging = observations({ ...observed, 'e:1': { ...CAUGHT_UP, lagEntries: 9 } })
  expect(nextVoters({ ...four, learners: ['e:1'] }, lagging, { ...OPTS, desiredVoters: 5 })).toBeUndefined()
})

test('one change adds or removes at most one voter, and two identities of a node are never in the set together', () => {
  const observation = fc.record({
    silentMs: fc.constantFrom(0, 4000, 40_000), lagEntries: fc.constantFrom(0, 50), hasRequestedJoin: fc.boolean(),
  })
  const id = fc.tuple(fc.constantFrom('a', 'b', 'c', 'd', 'e'), fc.constantFrom('1', '2'))
    .map(([name, incarnation]) => `${name}:${incarnation}`)
  const distinctNames = (ids: readonly string[]) => new Set(ids.map((each) => each.split(':')[0])).size
  const voterSets = fc.uniqueArray(id, { minLength: 1, maxLength: 5, selector: (each) => each[0] })
  fc.assert(fc.property(voterSets, fc.array(fc.tuple(id, observation)), (voters, observed) => {
    const next = nextVoters({ voters, learners: [] }, new Map(observed), { desiredVoters: 3, self: voters[0] })
    if (next === undefined) return true
    const voteChanges = voters.filter((each) => !next.voters.includes(each)).length +
      next.voters.filter((each) => !voters.includes(each)).length
    const all = [...next.voters, ...next.learners]
    return voteChanges <= 1 && distinctNames(next.voters) === next.voters.length && distinctNames(all) === all.length
  }), { seed: 20261204, numRuns: 1000, endOnFailure: true })
})
