import { type RouteTable } from '@briarpick/types'
import { readTeamLimits, type TeamLimit } from '@briarpick/team-limits'

/** Limits of teams as the routes in force have them. */
export interface LimitTable {
  /** Databases whose homes keep limits; none if the routes have no teams. */
  readonly databases: () => readonly string[]
  /** Limit of a team; undefined if it has none. */
  readonly limitOf: (team: string) => TeamLimit | undefined
}

/** Creates the limits of a table of routes, which are read again when the table has changed. */
export function createLimitTable (routes: () => RouteTable | undefined): LimitTable {
  let known: RouteTable | undefined
  let databases: readonly string[] = []
  let limits: ReadonlyMap<string, TeamLimit> = new Map()

  function update (): void {
    const table = routes()
    if (table === known) return
    known = table
    databases = table?.teams === undefined ? [] : table.databases.map(({ database }) => database)
    limits = readTeamLimits(table?.teams ?? [])
  }

  return {
    databases () {
      update()
      return databases
    },
    limitOf (team) {
      update()
      return limits.get(team)
    },
  }
}
