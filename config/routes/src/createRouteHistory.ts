import { type RouteTable, type RouteUpdate } from '@briarpick/types'
import { packUpdate } from './packRoutes.js'
import { diffRouteTables } from './routeChange.js'

/** The latest versions of the routes, from which incremental updates are computed. */
export interface RouteHistory {
  /**
   * Records `table` as the latest version and returns the update to it from `version`, the whole table from undefined; null if
   * `version` is the same or higher.
   */
  updateFor: (version: number | undefined, table: RouteTable) => RouteUpdate | null
}

/** Versions kept: several seconds of rapid changes. No process that can reach control lags further behind. */
const MAX_VERSIONS = 64

/** Creates an empty history. */
export function createRouteHistory (): RouteHistory {
  const tables = new Map<number, RouteTable>()
  /** Updates to the latest version, by base version. */
  const updatesByVersion = new Map<number | undefined, RouteUpdate>()
  let latestVersion = -1

  function record (table: RouteTable): void {
    if (table.version === latestVersion) return
    latestVersion = table.version
    updatesByVersion.clear()
    tables.set(table.version, table)
    for (const version of tables.keys()) {
      if (tables.size <= MAX_VERSIONS) break
      tables.delete(version)
    }
  }

  function createUpdate (version: number | undefined, table: RouteTable): RouteUpdate {
    const base = version === undefined ? undefined : tables.get(version)
    return packUpdate(base === undefined ? { kind: 'whole', table } : { kind: 'change', change: diffRouteTables(base, table) })
  }

  return {
    updateFor (version, table) {
      record(table)
      if (version !== undefined && version >= table.version) return null
      const update = updatesByVersion.get(version) ?? createUpdate(version, table)
      updatesByVersion.set(version, update)
      return update
    },
  }
}
