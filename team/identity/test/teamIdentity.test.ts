import { expect, test } from 'vitest'
import fc from 'fast-check'
import { type Route, type Team } from '@briarpick/types'
import { createTeamDirectory, digestKey, digestPresentedKey, findTeamProblem, identifyCaller, MAX_KEY_CHARACTERS } from '../src/index.js'

const ROUTE: Route = {
  name: 'r', callerName: 'c', database: 'd', consistency: 'current', maxAgeMs: 0, statementTimeoutMs: 800, aimMs: 100, priority: 1,
}
const team = (name: string, ...keys: readonly string[]): Team => ({ name, keyDigests: keys.map(digestKey) })

test('a digest is 22 characters of base64url, the same each time, and differs between keys', () => {
  fc.assert(fc.property(fc.string({ minLength: 1 }), fc.string({ minLength: 1 }), (a, b) => {
    expect(digestKey(a)).toMatch(/^[\w-]{22}$/)
    expect(digestKey(a) === digestKey(b)).toBe(a === b)
  }), { seed: 20261204, numRuns: 500, endOnFailure: true })
})

test('a missing, empty or over-long key has no digest', () => {
  for (const key of [null, '', 'k'.repeat(MAX_KEY_CHARACTERS + 1)]) expect(digestPresentedKey(key)).toBeNull()
  expect(digestPresentedKey('k')).toBe(digestKey('k'))
})

// Guards against a key that was accepted for another one: lone surrogates have the digest of U+FFFD.
test('a key that is not well-formed text has no digest', () => {
  for (const key of ['\udce9', 'k\ud83d', '\udcff\udcfe']) expect(digestPresentedKey(key)).toBeNull()
  expect(digestPresentedKey('\ufffd')).toBe(digestKey('\ufffd'))
  expect(digestPresentedKey('k\u{1f600}')).toBe(digestKey('k\u{1f600}'))
})

test('a known key identifies its team on every route; without one a caller is anonymous on a public route only', () => {
  const teams = createTeamDirectory([team('a', 'key-1', 'key-2'), team('b', 'key-3'), team('c')])
  const publicRoute = { ...ROUTE, isPublic: true }
  for (const route of [ROUTE, publicRoute]) {
    expect(identifyCaller(digestKey('key-2'), route, teams)).toMatchObject({ kind: 'team', team: { name: 'a' } })
    expect(identifyCaller(digestKey('key-3'), route, teams)).toMatchObject({ kind: 'team', team: { name: 'b' } })
  }
  for (const digest of [null, digestKey('other')]) {
    expect(identifyCaller(digest, ROUTE, teams).kind).toBe('unknown')
    expect(identifyCaller(digest, publicRoute, teams).kind).toBe('anonymous')
    expect(identifyCaller(digest, ROUTE, undefined).kind).toBe('anonymous')
  }
})

test('teams with a shared key, the same name, no name or an impossible limit are invalid, and the error contains no key', () => {
  const cases: ReadonlyArray<readonly [readonly Team[], RegExp]> = [
    [[team('a', 'key-1'), team('b', 'key-2', 'key-1')], /teams a and b have the same key/],
    [[team('a', 'key-1'), team('a', 'key-2')], /two teams are named a/],
    [[team('', 'key-1')], /empty name/],
    [[{ ...team('a'), ratePerS: 0 }], /team a has a rate of 0 .* above 0/],
    [[{ ...team('a'), ratePerS: 1e12 }], /team a has a rate/],
    [[{ ...team('a'), ratePerS: NaN }], /team a has a rate/],
    [[{ ...team('a'), ratePerS: 5, burst: -1 }], /team a has a burst of -1/],
  ]
  for (const [teams, pattern] of cases) {
    const problem = findTeamProblem(teams)
    expect(problem).toMatch(pattern)
    for (const key of ['key-1', 'key-2']) {
      expect(problem).not.toContain(key)
      expect(problem).not.toContain(digestKey(key))
    }
  }
  expect(findTeamProblem([team('a', 'key-1', 'key-1'), team('b'), { ...team('c', 'key-2'), ratePerS: 0.1, burst: 0 }])).toBeUndefined()
})

test('10,000 teams with two keys each are checked, and each key is found', () => {
  const teams = Array.from({ length: 10_000 }, (_, i) => team(`t${i}`, `a${i}`, `b${i}`))
  expect(findTeamProblem(teams)).toBeUndefined()
  expect(findTeamProblem([...teams, team('last', 'b9999')])).toMatch(/teams t9999 and last/)
  const directory = createTeamDirectory(teams)
  expect(directory.size).toBe(10_000)
  expect(directory.find(digestKey('b1234'))?.name).toBe('t1234')
})
