import { expect, test } from 'vitest'
import fc from 'fast-check'
import { type Route, type RouteTable, type RouteUpdate } from '@briarpick/types'
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

const routesArbitrary = fc.dictionary(fc.constantFrom('a', 'b', 'c', 'd', 'e', 'f'), fc.integer({ min: 1, max: 3 })).map((timeouts) => Object.entries(timeouts))

test('applying the difference of two versions to the first gives the second, whichever routes were added, changed or removed', () => {
  fc.assert(fc.property(routesArbitrary, routesArbitrary, (before, after) => {
    const from = tableOf(3, before)
    const to = tableOf(9, after)
    expect(sorted(applyRouteChange(from, diffRouteTables(from, to)))).toEqual(sorted(to))
  }), { seed: 20261204, numRuns: 500, endOnFailure: true })
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
