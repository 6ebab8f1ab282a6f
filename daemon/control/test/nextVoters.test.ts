import { expect, test } from 'vitest'
import fc from 'fast-check'
import { type VoterSet } from '@briarpick/consensus-agreement'
import { nextVoters, type VoterFinding } from '../src/index.js'

const WELL: VoterFinding = { silentMs: 10, behind: 0, isAsking: false }
const GONE: VoterFinding = { ...WELL, silentMs: 4000 }
const findings = (entries: Readonly<Record<string, VoterFinding>>) => new Map(Object.entries(entries))
const THREE: VoterSet = { voters: ['a:1', 'b:1', 'c:1'], learners: [] }
const OPTS = { wanted: 3, self: 'a:1' }

test('a node that asks becomes a learner, and its earlier life loses its vote', () => {
  const known = findings({ 'a:1': WELL, 'b:1': WELL, 'c:1': GONE, 'c:2': { ...WELL, isAsking: true } })
  expect(nextVoters(THREE, known, OPTS)).toEqual({ voters: ['a:1', 'b:1'], learners: ['c:2'] })
})

test('a learner gets a vote only once it has caught up, and only up to the number wanted', () => {
  const set: VoterSet = { voters: ['a:1', 'b:1'], learners: ['d:1'] }
  expect(nextVoters(set, findings({ 'a:1': WELL, 'b:1': WELL, 'd:1': { ...WELL, behind: 9 } }), OPTS)).toBeUndefined()
  expect(nextVoters(set, findings({ 'a:1': WELL, 'b:1': WELL, 'd:1': WELL }), OPTS)?.voters).toEqual(['a:1', 'b:1', 'd:1'])
  const full = { ...THREE, learners: ['d:1'] }
  expect(nextVoters(full, findings({ 'a:1': WELL, 'b:1': WELL, 'c:1': WELL, 'd:1': WELL }), OPTS)).toBeUndefined()
})

test('a voter that is gone keeps its vote until a successor stands ready', () => {
  const known = { 'a:1': WELL, 'b:1': WELL, 'c:1': GONE }
  expect(nextVoters(THREE, findings(known), OPTS)).toBeUndefined()
  const replaced = nextVoters({ ...THREE, learners: ['d:1'] }, findings({ ...known, 'd:1': WELL }), OPTS)
  expect(replaced).toEqual({ voters: ['a:1', 'b:1'], learners: ['d:1'] })
})

test('whatever is found, one change moves one vote, and two lives of a node never vote together', () => {
  const finding = fc.record({ silentMs: fc.constantFrom(0, 4000, 40_000), behind: fc.constantFrom(0, 50), isAsking: fc.boolean() })
  const id = fc.tuple(fc.constantFrom('a', 'b', 'c', 'd', 'e'), fc.constantFrom('1', '2')).map(([name, life]) => `${name}:${life}`)
  const names = (ids: readonly string[]) => new Set(ids.map((each) => each.split(':')[0])).size
  const voterSets = fc.uniqueArray(id, { minLength: 1, maxLength: 5, selector: (each) => each[0] })
  fc.assert(fc.property(voterSets, fc.array(fc.tuple(id, finding)), (voters, found) => {
    const next = nextVoters({ voters, learners: [] }, new Map(found), { wanted: 3, self: voters[0] })
    if (next === undefined) return true
    const moved = voters.filter((each) => !next.voters.includes(each)).length + next.voters.filter((each) => !voters.includes(each)).length
    const all = [...next.voters, ...next.learners]
    return moved <= 1 && names(next.voters) === next.voters.length && names(all) === all.length
  }), { seed: 20261204, numRuns: 1000, endOnFailure: true })
})
