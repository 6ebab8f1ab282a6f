import { expect, test } from 'vitest'
import { type RouteTable } from '@briarpick/types'
import { diffRouteTables } from '@briarpick/routes'
import { createActiveRoutes } from '../src/createActiveRoutes.js'

const tableOf = (version: number): RouteTable => ({ version, routes: [], databases: [], transactionIdleMs: 1000 })
const changeOf = (from: number, to: number) => ({ kind: 'change' as const, change: diffRouteTables(tableOf(from), tableOf(to)) })

// Guards against a proxy that takes a change that it can't apply for one that it has: it must ask for the whole table.
test('a change applies only to its base version, and an update that is not newer is outdated whatever its base', () => {
  const routes = createActiveRoutes()
  expect(routes.apply(changeOf(0, 1))).toBe('otherBase')
  expect(routes.version()).toBe(-1)
  expect(routes.apply({ kind: 'whole', table: tableOf(0) })).toBe('applied')
  expect(routes.apply(changeOf(1, 2))).toBe('otherBase')
  expect(routes.apply(changeOf(0, 2))).toBe('applied')
  expect(routes.apply(changeOf(0, 1))).toBe('outdated')
  expect(routes.apply({ kind: 'whole', table: tableOf(2) })).toBe('outdated')
  expect(routes.version()).toBe(2)
})
