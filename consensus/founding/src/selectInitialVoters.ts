/** Number of initial voters, if as many candidates are known: the fewest that bear a loss. Further nodes join the cluster. */
export const WANTED_INITIAL_VOTERS = 3

/** Returns candidates in the order of preference: seeds first, as they are spread over the zones, then others by their names. */
export function orderCandidates (seeds: readonly string[], names: ReadonlySet<string>): readonly string[] {
  return [...seeds.filter((seed) => names.has(seed)), ...[...names].filter((name) => !seeds.includes(name)).sort()]
}

/** Returns the initial voters to propose, of candidates in the order of preference. */
export function selectInitialVoters (candidates: readonly string[]): readonly string[] {
  return candidates.slice(0, WANTED_INITIAL_VOTERS)
}
