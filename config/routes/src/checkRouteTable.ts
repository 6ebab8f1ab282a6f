import { Result } from 'true-myth'
import { type RouteTable } from '@briarpick/types'
import { BriarpickError } from '@briarpick/error'
import { shortenText } from '@briarpick/schema'
import { findTeamProblem } from '@briarpick/team-identity'

/** Validates a route table as a whole. Fails with `ERR_BRIARPICK_USAGE`; the message describes the first invalid route or team. */
export function checkRouteTable (table: RouteTable): Result<RouteTable, BriarpickError> {
  const problem = findRouteProblem(table) ?? findTeamProblem(table.teams ?? [])
  return problem === undefined ? Result.ok(table) : Result.err(routeTableError(problem))
}

function findRouteProblem (table: RouteTable): string | undefined {
  const databases = new Set(table.databases.map(({ database }) => database))
  const callerNames = new Set<string>()
  const names = new Set<string>()
  for (const { name, callerName, database, statementTimeoutMs } of table.routes) {
    if (!databases.has(database)) return `route ${name} refers to the unknown database ${database}`
    if (statementTimeoutMs <= 0) return `route ${name} has a statement timeout of ${statementTimeoutMs} ms; it must be positive`
    if (callerNames.has(callerName)) return `route ${name} has the same caller name as another route: ${callerName}`
    if (names.has(name)) return `two routes are named ${name}`
    callerNames.add(callerName)
    names.add(name)
  }
  return undefined
}

function routeTableError (message: string): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_USAGE', shortenText(message), { hint: 'correct the routes or teams and submit them again; the routes in force are unchanged' })
}
