import { type Team } from '@briarpick/types'
import { type TeamLimit } from './bucketSize.js'

/** Limits of teams by name, without the teams that have none. */
export function readTeamLimits (teams: readonly Team[]): ReadonlyMap<string, TeamLimit> {
  return new Map(teams.flatMap(({ name, ratePerS, burst = 0 }) => ratePerS === undefined ? [] : [[name, { ratePerS, burst }]]))
}
