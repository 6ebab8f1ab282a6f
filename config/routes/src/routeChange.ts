import { type Route, type RouteChange, type RouteTable } from '@briarpick/types'

/** Computes the change that turns the version `from` into the version `to`. */
export function diffRouteTables (from: RouteTable, to: RouteTable): RouteChange {
  const previousRoutes = new Map(from.routes.map((route) => [route.name, route]))
  const remainingNames = new Set(to.routes.map(({ name }) => name))
  return {
    fromVersion: from.version,
    version: to.version,
    changed: to.routes.filter((route) => !isSameRoute(route, previousRoutes.get(route.name))),
    removed: from.routes.map(({ name }) => name).filter((name) => !remainingNames.has(name)),
    databases: to.databases,
    transactionIdleMs: to.transactionIdleMs,
  }
}

/** Applies a change and returns the resulting version; undefined if the change is not based on the table's version. */
export function applyRouteChange (table: RouteTable, change: RouteChange): RouteTable | undefined {
  if (change.fromVersion !== table.version) return undefined
  const { version, databases, transactionIdleMs } = change
  const routes = new Map(table.routes.map((route) => [route.name, route]))
  for (const name of change.removed) routes.delete(name)
  for (const route of change.changed) routes.set(route.name, route)
  return { version, routes: [...routes.values()], databases, transactionIdleMs }
}

function isSameRoute (a: Route, b: Route | undefined): boolean {
  if (b === undefined) return false
  const keys = Object.keys(a) as ReadonlyArray<keyof Route>
  return keys.length === Object.keys(b).length && keys.every((key) => a[key] === b[key])
}
