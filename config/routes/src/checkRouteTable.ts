import { Result } from 'true-myth'
import { type RouteTable } from '@briarpick/types'
import { BriarpickError } from '@briarpick/error'

/** Judges a route table whole; the error names the first fault. */
export function checkRouteTable (table: RouteTable): Result<RouteTable, BriarpickError> {
  const fault = findFault(table)
  return fault === undefined ? Result.ok(table) : Result.err(invalid(fault))
}

function findFault (table: RouteTable): string | undefined {
  const databases = new Set(table.databases.map(({ database }) => database))
  const callerNames = new Set<string>()
  const names = new Set<string>()
  for (const { name, callerName, database, statementTimeoutMs } of table.routes) {
    if (!databases.has(database)) return `route ${name} names the unknown database ${database}`
    if (statementTimeoutMs <= 0) return `route ${name} has a statement timeout of ${statementTimeoutMs} ms`
    if (callerNames.has(callerName)) return `route ${name} shares the caller name ${callerName} with another`
    if (names.has(name)) return `two routes are named ${name}`
    callerNames.add(callerName)
    names.add(name)
  }
  return undefined
}

function invalid (fault: string): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_USAGE', fault, { hint: 'correct the routes and submit them again; nothing was changed' })
}
