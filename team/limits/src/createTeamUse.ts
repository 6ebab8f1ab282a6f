/** Operations of a team that were admitted, and that were refused beyond its limit. */
export interface OperationCounts {
  readonly admitted: number
  readonly refused: number
}

/** Counts the operations of the largest teams one by one, and those of all others together, so that the memory is bounded. */
export interface TeamUse {
  admit: (team: string) => void
  refuse: (team: string) => void
  /** Counts by team, and of all other teams under `REST`. */
  counts: () => ReadonlyMap<string, OperationCounts>
}

/** Name under which the operations of all other teams are counted; no team has an empty name. */
export const REST = ''
/** Number of teams that are counted one by one. */
const COUNTED_TEAMS = 32

interface Counts {
  admitted: number
  refused: number
}

/** Creates empty counters. */
export function createTeamUse (): TeamUse {
  const counts = new Map<string, Counts>()
  const rest: Counts = { admitted: 0, refused: 0 }

  function countsOf (team: string): Counts {
    const known = counts.get(team)
    if (known !== undefined) return known
    if (counts.size >= COUNTED_TEAMS) mergeSmallest()
    const created = { admitted: 0, refused: 0 }
    counts.set(team, created)
    return created
  }

  function mergeSmallest (): void {
    const sizeOf = ({ admitted, refused }: Counts) => admitted + refused
    const [team, smallest] = [...counts].reduce((a, b) => sizeOf(b[1]) < sizeOf(a[1]) ? b : a)
    rest.admitted += smallest.admitted
    rest.refused += smallest.refused
    counts.delete(team)
  }

  return {
    admit (team) { countsOf(team).admitted += 1 },
    refuse (team) { countsOf(team).refused += 1 },
    counts: () => new Map([...counts, [REST, rest]]),
  }
}
