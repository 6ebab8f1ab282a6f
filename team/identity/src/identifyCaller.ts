import { type Route, type Team } from '@briarpick/types'
import { type TeamDirectory } from './createTeamDirectory.js'

/** Who a caller is. `anonymous` callers need no key: the deployment knows no teams, or the route is public. */
export type CallerIdentity =
  | { readonly kind: 'team', readonly team: Team }
  | { readonly kind: 'anonymous' }
  | { readonly kind: 'unknown' }

const ANONYMOUS: CallerIdentity = { kind: 'anonymous' }
const UNKNOWN: CallerIdentity = { kind: 'unknown' }

/**
 * Identifies the caller of a route by the digest of its key. A known key identifies its team on a public route too.
 *
 * @param teams teams of the route table in force; undefined if the deployment knows no teams
 */
export function identifyCaller (keyDigest: string | null, route: Route, teams: TeamDirectory | undefined): CallerIdentity {
  if (teams === undefined) return ANONYMOUS
  const team = keyDigest === null ? undefined : teams.find(keyDigest)
  if (team !== undefined) return { kind: 'team', team }
  return route.isPublic === true ? ANONYMOUS : UNKNOWN
}
