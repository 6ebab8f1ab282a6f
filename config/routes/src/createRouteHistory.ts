import { type RouteTable, type RouteUpdate } from '@briarpick/types'
import { packUpdate } from './packRoutes.js'
import { diffRouteTables } from './routeChange.js'

/** Remembers versions of the routes, so that processes can be sent what changed. */
export interface RouteHistory {
  /** What brings a process from its version to a table; null if it has that version or a higher one. */
  updateFor: (version: number, table: RouteTable) => RouteUpdate | null
}

/** Versions kept: some seconds of changes in quick succession, which no process in touch is behind. */
const KEPT_VERSIONS = 64

/** Creates a memory without versions. */
export function createRouteHistory (): RouteHistory {
  const kept = new Map<number, RouteTable>()
  /** Updates to the newest version, by the version that they start from. */
  const updates = new Map<number, RouteUpdate>()
  let newest = -1

  function keep (table: RouteTable): void {
    if (table.version === newest) return
    newest = table.version
    updates.clear()
    kept.set(table.version, table)
    for (const version of kept.keys()) {
      if (kept.size <= KEPT_VERSIONS) break
      kept.delete(version)
    }
  }

  function makeUpdate (version: number, table: RouteTable): RouteUpdate {
    const from = kept.get(version)
    return packUpdate(from === undefined ? { kind: 'whole', table } : { kind: 'change', change: diffRouteTables(from, table) })
  }

  return {
    updateFor (version, table) {
      keep(table)
      if (version >= table.version) return null
      const update = updates.get(version) ?? makeUpdate(version, table)
      updates.set(version, update)
      return update
    },
  }
}
