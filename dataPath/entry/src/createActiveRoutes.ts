import { type DatabaseLimits, type Route, type RouteTable, type RouteUpdate } from '@briarpick/types'
import { applyRouteChange, unpackUpdate } from '@briarpick/routes'

/** The routes in force on this process. The version never goes back within its life. */
export interface ActiveRoutes {
  /** Takes an update over whole, unless a version at least as high is in force or the update starts from another one. */
  apply: (update: RouteUpdate) => boolean
  /** Version in force; -1 before the first. */
  version: () => number
  find: (callerName: string) => Route | undefined
  limitsOf: (database: string) => DatabaseLimits | undefined
  transactionIdleMs: () => number
}

const NO_IDLE_LIMIT_MS = 60_000

/** Creates a book without routes. */
export function createActiveRoutes (): ActiveRoutes {
  let table: RouteTable | undefined
  let byCallerName: ReadonlyMap<string, Route> = new Map()
  let byDatabase: ReadonlyMap<string, DatabaseLimits> = new Map()
  return {
    apply (update) {
      const next = nextTable(table, update)
      if (next === undefined || (table !== undefined && next.version <= table.version)) return false
      table = next
      byCallerName = new Map(next.routes.map((route) => [route.callerName, route]))
      byDatabase = new Map(next.databases.map((limits) => [limits.database, limits]))
      return true
    },
    version: () => table?.version ?? -1,
    find: (callerName) => byCallerName.get(callerName),
    limitsOf: (database) => byDatabase.get(database),
    transactionIdleMs: () => table?.transactionIdleMs ?? NO_IDLE_LIMIT_MS,
  }
}

function nextTable (table: RouteTable | undefined, received: RouteUpdate): RouteTable | undefined {
  const update = unpackUpdate(received)
  if (update.kind === 'whole') return update.table
  return table === undefined ? undefined : applyRouteChange(table, update.change)
}
