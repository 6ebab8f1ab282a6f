import { laterOf, type LogPosition, ORIGIN } from '@briarpick/types'

/**
 * The lowest position that the last acknowledged write can have. The position in an answer may be beyond the write itself, but each
 * write has an offset of its own, above any offset that the primary had shown before the write was sent to it.
 */
export interface AckLowerBound {
  /** Records an acknowledged write: the position in its answer, and the primary's highest known one when it was sent. */
  record: (answered: LogPosition, followed: LogPosition) => void
  /** A replica that has not reached this position lacks an acknowledged write; the origin if nothing is proven. */
  position: () => LogPosition
}

/** Number of offsets that are remembered as taken, several times the writes that can be in flight at once. */
const MAX_TAKEN = 256

/** Creates a bound that proves nothing. */
export function createAckLowerBound (): AckLowerBound {
  let highest = ORIGIN
  /** Offsets of the term of `highest` that are assigned to acknowledged writes: the lowest free one to each. */
  let taken = new Set<number>()

  function forgetLowest (): void {
    const kept = [...taken].sort((a, b) => a - b).slice(taken.size / 2)
    taken = new Set(kept)
  }

  return {
    record (answered, followed) {
      if (answered.term < highest.term) return
      if (answered.term > highest.term) taken = new Set()
      // Offsets of another term say nothing about this one, as commits may have been rolled back in between.
      let offset = followed.term === answered.term ? followed.offset + 1 : 1
      while (taken.has(offset)) offset += 1
      if (offset > answered.offset) return
      taken.add(offset)
      if (taken.size > MAX_TAKEN) forgetLowest()
      highest = laterOf(highest, { term: answered.term, offset })
    },
    position: () => highest,
  }
}
