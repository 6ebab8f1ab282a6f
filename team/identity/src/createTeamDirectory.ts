import { type Team } from '@briarpick/types'

/** The teams of one version of the routes, by the digests of their keys. */
export interface TeamDirectory {
  /** The team that holds the key with this digest; undefined if no team does. */
  readonly find: (keyDigest: string) => Team | undefined
  readonly size: number
}

/** Creates the directory of a route table's teams. */
export function createTeamDirectory (teams: readonly Team[]): TeamDirectory {
  const teamsByDigest = new Map(teams.flatMap((team) => team.keyDigests.map((digest) => [digest, team] as const)))
  return {
    find: (keyDigest) => teamsByDigest.get(keyDigest),
    size: teams.length,
  }
}
