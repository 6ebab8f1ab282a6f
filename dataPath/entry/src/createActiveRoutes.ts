import { type DatabaseLimits, type Route, type RouteTable, type RouteUpdate } from '@briarpick/types'
import { readTeamLimits, type TeamLimit } from '@briarpick/team-limits'
import { applyRouteChange, unpackUpdate } from '@briarpick/routes'
import { createTeamDirectory, type TeamDirectory } from '@briarpick/team-identity'

/**
 * Result of an update: `applied`; `outdated` if its version is not higher than the current one; or `otherBase` if it is a change from a
 * version other than the current one.
 */
export type RoutesUpdateResult = 'applied' | 'outdated' | 'otherBase'

/** The route table that this process uses. Its version never decreases while the process runs. */
export interface ActiveRoutes {
  /** Applies an update as a whole, or keeps the current table. */
  apply: (update: RouteUpdate) => RoutesUpdateResult
  /** Version of the current table; -1 before the first one. */
  version: () => number
  /** The route of a caller name. */
  find: (callerName: string) => Route | undefined
  /** The limits of a database. */
  limitsOf: (database: string) => DatabaseLimits | undefined
  /** Number of databases. */
  databases: () => number
  /** Rate limit of a team; undefined if it has none. */
  teamLimit: (team: string) => TeamLimit | undefined
  /** Time after which an idle transaction is rolled back, in ms. */
  transactionIdleMs: () => number
  /** The teams; undefined if the deployment knows no teams. */
  teams: () => TeamDirectory | undefined
}

/** Idle limit before the first route table, in ms. */
const DEFAULT_TRANSACTION_IDLE_MS = 60_000

/** Creates an empty table without a version. */
export function createActiveRoutes (): ActiveRoutes {
  let table: RouteTable | undefined
  let routesByCallerName: ReadonlyMap<string, Route> = new Map()
  let limitsByDatabase: ReadonlyMap<string, DatabaseLimits> = new Map()
  let teams: TeamDirectory | undefined
  let limitsByTeam: ReadonlyMap<string, TeamLimit> = new Map()
  return {
    apply (receivedUpdate) {
      const update = unpackUpdate(receivedUpdate)
      const { version } = update.kind === 'whole' ? update.table : update.change
      if (table !== undefined && version <= table.version) return 'outdated'
      const next = nextTable(table, update)
      if (next === undefined) return 'otherBase'
      if (next.teams !== table?.teams) teams = next.teams === undefined ? undefined : createTeamDirectory(next.teams)
      table = next
      routesByCallerName = new Map(next.routes.map((route) => [route.callerName, route]))
      limitsByDatabase = new Map(next.databases.map((limits) => [limits.database, limits]))
      limitsByTeam = readTeamLimits(next.teams ?? [])
      return 'applied'
    },
    version: () => table?.version ?? -1,
    find: (callerName) => routesByCallerName.get(callerName),
    limitsOf: (database) => limitsByDatabase.get(database),
    databases: () => limitsByDatabase.size,
    teamLimit: (team) => limitsByTeam.get(team),
    transactionIdleMs: () => table?.transactionIdleMs ?? DEFAULT_TRANSACTION_IDLE_MS,
    teams: () => teams,
  }
}

function nextTable (table: RouteTable | undefined, update: ReturnType<typeof unpackUpdate>): RouteTable | undefined {
  if (update.kind === 'whole') return update.table
  return table === undefined ? undefined : applyRouteChange(table, update.change)
}
