import { expect, test } from 'vitest'
import { type Route, type RouteTable } from '@briarpick/types'
import { checkRouteTable } from '../src/index.js'

const ROUTE: Route = {
  name: 'r1', callerName: 'ledger', database: 'd1', consistency: 'current', maxAgeMs: 0, statementTimeoutMs: 800, aimMs: 100, priority: 1,
}
const table = (...routes: readonly Route[]): RouteTable => ({
  version: 1, routes, databases: [{ database: 'd1', maxConnections: 16, syncReplicas: 1 }], transactionIdleMs: 3000,
})

test('a table is valid if each route refers to a known database and has a unique caller name', () => {
  expect(checkRouteTable(table(ROUTE, { ...ROUTE, name: 'r2', callerName: 'other' })).isOk).toBe(true)
})

test('an invalid team makes the whole table invalid, with a hint', () => {
  const checked = checkRouteTable({ ...table(ROUTE), teams: [{ name: 'a', keyDigests: ['k'] }, { name: 'b', keyDigests: ['k'] }] })
  expect(checked.isErr && checked.error.message).toMatch(/teams a and b have the same key/)
  expect(checked.isErr && checked.error.hint).toMatch(/teams/)
  expect(checkRouteTable({ ...table(ROUTE), teams: [] }).isOk).toBe(true)
})

test('one invalid route makes the whole table invalid, and the error names that route', () => {
  const invalidRoutes = [
    { ...ROUTE, name: 'r2', callerName: 'other', database: 'gone' },
    { ...ROUTE, name: 'r2', callerName: 'other', statementTimeoutMs: 0 },
    { ...ROUTE, name: 'r2' },
    { ...ROUTE, callerName: 'other' },
  ]
  for (const route of invalidRoutes) {
    const checked = checkRouteTable(table(ROUTE, route))
    expect(checked.isErr && checked.error.message).toContain(route.name)
  }
})
