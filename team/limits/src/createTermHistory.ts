/** Terms that a control node has known lately. */
export interface TermHistory {
  /** Records the present term of the node. */
  observe: (term: number) => void
  /** Number of terms before the present one that may have been in force within the last `ms`. */
  earlierTermsWithin: (ms: number) => number
}

/**
 * Creates the history of a process that starts in the given term; `now` is a monotonic time in ms. Terms before the first one count as
 * ended long ago: the tolerance of the limits allows for one restart of control within a window.
 */
export function createTermHistory (firstTerm: number, now: () => number): TermHistory {
  let known: ReadonlyArray<{ readonly term: number, readonly at: number }> = [{ term: firstTerm, at: -Infinity }]

  return {
    observe (term) {
      if (term > known[known.length - 1].term) known = [...known, { term, at: now() }]
    },
    earlierTermsWithin (ms) {
      const since = now() - ms
      // The term in force at the beginning of that time counts as well.
      known = known.slice(known.findLastIndex(({ at }) => at <= since))
      return known[known.length - 1].term - known[0].term
    },
  }
}
