import { type Route } from '@briarpick/types'
import { type ActiveRoutes } from '../src/index.js'

const ROUTE: Route = {
  name: 'r',
  callerName: 'c',
  database: 'd',
  consistency: 'boundedAge',
  maxAgeMs: 1000,
  priority: 1,
  statementTimeoutMs: 1000,
  aimMs: 100,
}

/** Routes that lead every caller to the database `d`, without teams. */
export const ROUTES: ActiveRoutes = {
  apply: () => true,
  version: () => 1,
  find: () => ROUTE,
  limitsOf: () => undefined,
  databases: () => 1,
  teamLimit: () => undefined,
  transactionIdleMs: () => 1000,
  teams: () => undefined,
}
