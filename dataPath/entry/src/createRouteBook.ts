import { type DatabaseLimits, type Route, type RouteTable } from '@briarpick/types'

/** The routes in force on this process. The version never goes back within its life. */
export interface RouteBook {
  /** Takes a table over whole, unless one at least as new is in force. */
  apply: (table: RouteTable) => boolean
  /** Version in force; -1 before the first. */
  version: () => number
  find: (callerName: string) => Route | undefined
  limitsOf: (database: string) => DatabaseLimits | undefined
  transactionIdleMs: () => number
}

const NO_IDLE_LIMIT_MS = 60_000

/** Creates a book without routes. */
export function createRouteBook (): RouteBook {
  let table: RouteTable | undefined
  let byCallerName: ReadonlyMap<string, Route> = new Map()
  let byDatabase: ReadonlyMap<string, DatabaseLimits> = new Map()
  return {
    apply (next) {
      if (table !== undefined && next.version <= table.version) return false
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
