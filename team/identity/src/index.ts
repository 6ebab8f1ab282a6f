/** Identity of teams: digests of keys, the directory of teams, and their validation. */
export * from './createTeamDirectory.js'
export * from './digestKey.js'
export * from './findTeamProblem.js'
export * from './identifyCaller.js'
