import { type Team } from '@briarpick/types'

/** Highest rate and burst of a team, in operations (per second): far above what any deployment serves, so a higher one is a mistake. */
export const MAX_TEAM_OPERATIONS = 1_000_000_000

/** Describes the first invalid team; undefined if all are valid. The text names teams and never contains a key or its digest. */
export function findTeamProblem (teams: readonly Team[]): string | undefined {
  const names = new Set<string>()
  const ownerByDigest = new Map<string, string>()
  for (const team of teams) {
    const { name, keyDigests } = team
    if (name === '') return 'a team has an empty name'
    if (names.has(name)) return `two teams are named ${name}`
    names.add(name)
    for (const digest of keyDigests) {
      const owner = ownerByDigest.get(digest)
      if (owner !== undefined && owner !== name) return `the teams ${owner} and ${name} have the same key`
      ownerByDigest.set(digest, name)
    }
    const problem = findLimitProblem(team)
    if (problem !== undefined) return problem
  }
  return undefined
}

function findLimitProblem ({ name, ratePerS, burst }: Team): string | undefined {
  if (ratePerS !== undefined && !(ratePerS > 0 && ratePerS <= MAX_TEAM_OPERATIONS)) {
    return `team ${name} has a rate of ${ratePerS} operations per second; it must be above 0 and at most ${MAX_TEAM_OPERATIONS}, or absent for no limit`
  }
  if (burst !== undefined && !(burst >= 0 && burst <= MAX_TEAM_OPERATIONS)) {
    return `team ${name} has a burst of ${burst} operations; it must be from 0 to ${MAX_TEAM_OPERATIONS}`
  }
  return undefined
}
