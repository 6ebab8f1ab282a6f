/**
 * Backlogs of many teams, grouped by powers of two, for the load of a loud team: tells how much of them goes before a request in
 * fair order without a walk over the teams.
 */
export interface BacklogClasses {
  /** Replaces a team's backlog, in ms; 0 if it has none. */
  update: (previousMs: number, nextMs: number) => void
  /** Sum over all teams of their backlog, counting at most `limitMs` of each, in ms. */
  sumUpTo: (limitMs: number) => number
}

interface BacklogClass {
  teams: number
  totalMs: number
}

/** Number of classes: backlogs of up to 2^40 ms. */
const CLASSES = 42

/** Creates classes without teams. */
export function createBacklogClasses (): BacklogClasses {
  const classes: readonly BacklogClass[] = Array.from({ length: CLASSES }, () => ({ teams: 0, totalMs: 0 }))

  function add (backlogMs: number, teams: 1 | -1): void {
    if (backlogMs <= 0) return
    const each = classes[classOf(backlogMs)]
    each.teams += teams
    // Without teams the sum is set to zero, so that rounding errors do not add up.
    each.totalMs = each.teams === 0 ? 0 : each.totalMs + teams * backlogMs
  }

  return {
    update (previousMs, nextMs) {
      add(previousMs, -1)
      add(nextMs, 1)
    },
    sumUpTo (limitMs) {
      let sumMs = 0
      for (const { teams, totalMs } of classes) if (teams > 0) sumMs += Math.min(totalMs, teams * limitMs)
      return sumMs
    },
  }
}

/** Index of the class of a backlog: below 1 ms, then one for each power of two. */
function classOf (backlogMs: number): number {
  return backlogMs < 1 ? 0 : Math.min(CLASSES - 1, Math.floor(Math.log2(backlogMs)) + 1)
}
