import { expect, test } from 'vitest'
import fc from 'fast-check'
import { type Route, type RouteTable, type RouteUpdate, type Team } from '@briarpick/types'
import { applyRouteChange, createRouteHistory, diffRouteTables, packRoutes, unpackRoutes, unpackUpdate } from '../src/index.js'

function route (name: string, statementTimeoutMs: number): Route {
  return { name, callerName: `c-${name}`, database: 'ledger', consistency: 'session', maxAgeMs: 100, statementTimeoutMs, aimMs: 50, priority: 1 }
}

function tableOf (version: number, routes: Iterable<readonly [string, number]>): RouteTable {
  const databases = [{ database: 'ledger', maxConnections: 16, syncReplicas: 1 }]
  return { version, routes: [...routes].map(([name, timeout]) => route(name, timeout)), databases, transactionIdleMs: 3000 }
}

const sorted = (table: RouteTable | undefined) =>
  table === undefined ? undefined : { ...table, routes: [...table.routes].sort((a, b) => a.name.localeCompare(b.name)) }

const teamArbitrary = fc.record({ keyDigests: fc.subarray(['k1', 'k2', 'k3']), ratePerS: fc.integer({ min: 1, max: 2 }) })
const teamsArbitrary = fc.option(fc.dictionary(fc.constantFrom('t', 'u', 'v'), teamArbitrary)
  .map((teams): readonly Team[] => Object.entries(teams).map(([name, team]) => ({ name, ...team }))), { nil: undefined })

const routesArbitrary = fc.dictionary(fc.constantFrom('a', 'b', 'c', 'd', 'e', 'f'), fc.integer({ min: 1, max: 3 })).map((timeouts) => Object.entries(timeouts))

test('applying the difference of two versions to the first gives the second, whichever routes were added, changed or removed', () => {
  fc.assert(fc.property(routesArbitrary, routesArbitrary, (before, after) => {
    const from = tableOf(3, before)
    const to = tableOf(9, after)
    expect(sorted(applyRouteChange(from, diffRouteTables(from, to)))).toEqual(sorted(to))
  }), { seed: 20261204, numRuns: 500, endOnFailure: true })
})

test('a change carries the teams that were added, changed or removed, and a version without teams ends them', () => {
  const withTeams = (version: number, teams: readonly Team[] | undefined): RouteTable =>
    ({ ...tableOf(version, []), ...teams === undefined ? {} : { teams } })
  const byName = (table: RouteTable | undefined) => table?.teams?.toSorted((a, b) => a.name.localeCompare(b.name))
  fc.assert(fc.property(teamsArbitrary, teamsArbitrary, (before, after) => {
    const change = diffRouteTables(withTeams(3, before), withTeams(9, after))
    expect(byName(applyRouteChange(withTeams(3, before), change))).toEqual(byName(withTeams(9, after)))
    if (JSON.stringify(before) === JSON.stringify(after)) expect(change.teams?.changed ?? []).toEqual([])
  }), { seed: 20261204, numRuns: 500, endOnFailure: true })
})

test('packed routes and updates that were stored before teams were known load as before', () => {
  // In the form of version 1e55509.
  const stored = 'bY6xagMxEET/ZWoZZIwTUBdSubAL4864WOsWI5BWRrsXfBz370HnIk265e0w82YY3TMjzPjhpqkKwqdDq6OxIlxnCBVGAMEhUs7cTm8QNx0NZHQn7YnMw4Nbj1XRpMYSJwQo61rrUOj19eCjImy9d1Aj48Jil1S4jrY+HCiVfu29w7Ol2pJNCNvl9rf19vpvudDru4pwtFSl73w46CTxzM+cInXSi6yRKK2hw5BXo533fnEYahy7EgLmBcsv'
  const update = 'rZC9TsQwEITfZWojOSB+5A5RUUCBEA1KsecswcJen7zmdFGUd0cOChRARzeandV+OzPeggxw8K8kI8Nsws14KTk9cdGQBe7S4LDpqy01wD3PEEoMB2rLFCOX+0/DnzRroEo70paIPIxcWiyLBq0sfoKDsq43DBIdr0e+U7jOWgOtVDmx1MeQOL/XNjg1oJCaOrcG+xJyCXWC6xbzRbL7SdKsfybp/iTpDQqnfODWT/99WNe6fsNIdLzJIuxryNLevzDQSfwD72Pw1JylN6iFRGkN3Q5xLerMWrssHw=='
  expect(unpackRoutes(stored).table).toEqual(tableOf(7, [['a', 1]]))
  const unpacked = unpackUpdate({ kind: 'packed', packed: update })
  const before = tableOf(7, [['a', 1]])
  const after = tableOf(8, [['a', 2], ['b', 1]])
  expect(unpacked).toEqual({ kind: 'change', change: diffRouteTables(before, after) })
  const applied = unpacked.kind === 'change' ? applyRouteChange(before, unpacked.change) : undefined
  expect(applied).toEqual(after)
  expect(Object.keys(applied ?? {})).not.toContain('teams')
})

test('packed routes are less than a quarter of the size and unpack to the same table and document', () => {
  const table = tableOf(7, Array.from({ length: 400 }, (_, i) => [`r${i}`, i + 1] as const))
  const routes = { table, document: JSON.stringify({ version: 7, routes: table.routes, note: 'Índice "é"' }) }
  const packed = packRoutes(routes)
  expect(unpackRoutes(packed)).toEqual(routes)
  expect(packed.length).toBeLessThan(JSON.stringify(routes).length / 4)
  expect(() => unpackRoutes('bm90IHJvdXRlcw==')).toThrow()
})

test('a change is not applied to a table of a version other than its base version', () => {
  const change = diffRouteTables(tableOf(3, [['a', 1]]), tableOf(4, [['a', 2]]))
  expect(applyRouteChange(tableOf(2, [['a', 1]]), change)).toBeUndefined()
})

test('with 400 routes, a process one version behind receives only the change, and one too far behind receives the whole table', () => {
  const many = Array.from({ length: 400 }, (_, i) => [`r${i}`, 1] as const)
  const history = createRouteHistory()
  const kindOf = (update: RouteUpdate | null) => update === null ? null : unpackUpdate(update).kind
  const first = history.updateFor(-1, tableOf(1, many))
  expect(first?.kind).toBe('packed')
  expect(JSON.stringify(first).length).toBeLessThan(JSON.stringify(tableOf(1, many)).length / 8)
  expect(kindOf(first)).toBe('whole')
  const next = tableOf(2, [...many, ['new', 1]])
  const update = history.updateFor(1, next)
  expect(update?.kind === 'change' ? update.change.changed.map(({ name }) => name) : undefined).toEqual(['new'])
  expect(kindOf(history.updateFor(0, next))).toBe('whole')
  expect(history.updateFor(2, next)).toBeNull()
  expect(history.updateFor(3, next)).toBeNull()
  for (let version = 3; version < 100; version += 1) history.updateFor(version - 1, tableOf(version, many))
  expect(kindOf(history.updateFor(2, tableOf(100, many)))).toBe('whole')
})
