/** A refused request. */
export interface RefusedRequest {
  /** Lower ranks go first. */
  readonly rank: number
  /** Expected time in a slot, in ms. */
  readonly costMs: number
  /** Expected time until the queue would have admitted it, in ms. */
  readonly roomInMs: number
  /** Longest useful delay, in ms: after it the caller no longer needs the response. */
  readonly maxMs: number
}

/**
 * Tells refused callers when to return, for the load at the end of a burst: one after another at a rate that the slots can serve,
 * urgent callers first, so that no second burst follows.
 */
export interface ReturnSchedule {
  /** Delay until the caller may return, in ms. */
  delayMs: (refused: RefusedRequest, now: number) => number
}

/** Options of a return schedule. */
export interface ReturnScheduleOptions {
  /** Number of statements that run at once. */
  readonly slots: () => number
}

/** Part of the slots that returning callers are planned for; the remainder is for new ones. */
const RETURN_SHARE = 0.5
/** Fractional part of the golden ratio: its multiples spread evenly over an interval, however many there are. */
const GOLDEN_FRACTION = 0.618_033_988_749_895

/** Creates a schedule without callers. */
export function createReturnSchedule (opts: ReturnScheduleOptions): ReturnSchedule {
  /** For each rank, the time from which the next caller may return, after those of the same and lower ranks; in ms. */
  const freeFrom = new Map<number, number>()
  let spread = 0

  /** Plans a return at a time: callers of this rank and of higher ones return after it. */
  function reserve (rank: number, at: number, costMs: number): void {
    const busyMs = costMs / (Math.max(1, opts.slots()) * RETURN_SHARE)
    for (const [other, from] of freeFrom) if (other >= rank) freeFrom.set(other, Math.max(from, at) + busyMs)
  }

  return {
    delayMs ({ rank, costMs, roomInMs, maxMs }, now) {
      const earliestMs = Math.min(maxMs, Math.max(roomInMs, costMs))
      const at = Math.max(now + earliestMs, freeFrom.get(rank) ?? 0)
      if (at - now <= maxMs) {
        if (!freeFrom.has(rank)) freeFrom.set(rank, at)
        reserve(rank, at, costMs)
        return at - now
      }
      // More callers than can be served in time: a place in the sequence would be of no use, so they are spread over their time.
      spread = (spread + GOLDEN_FRACTION) % 1
      return earliestMs + spread * (maxMs - earliestMs)
    },
  }
}
