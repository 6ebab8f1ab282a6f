/** Distinguishes a primary that acknowledges no writes from one whose response to a single write was lost. */
export interface WriteProgress {
  /** Records a sent write; the returned function is to be called when the write ends, with whether it was answered. */
  track: (now: number) => (answered: boolean, now: number) => void
  /**
   * Time for which writes have been waiting with no write answered, in ms, with that of an earlier write that waited in vain; 0 if
   * none waits.
   */
  stuckMs: (now: number) => number
  /**
   * True if no write has been answered since one waited for `stalledAfterMs` or longer, also after that one has ended: each
   * further write would end with an unknown outcome as well.
   */
  isStalled: (now: number, stalledAfterMs: number) => boolean
  /** True while a write waits for its response. */
  hasPending: () => boolean
  /** Time at which the oldest waiting write was sent, in ms; Infinity if none waits. */
  oldestSentAt: () => number
}

/**
 * Time for which a write waits before an earlier one that waited in vain counts as well, in ms: several times the usual response
 * time, so that one lost response is not taken for a primary that answers nothing.
 */
const REPEATED_WAIT_MS = 250

/** Creates a progress record without writes. */
export function createWriteProgress (): WriteProgress {
  const pending = new Set<{ readonly at: number }>()
  let answeredAt = -Infinity
  /** Time since which some write has always been waiting; undefined if none waits. */
  let waitingSince: number | undefined
  /** Longest time for which a write waited in vain since the last answer, in ms. */
  let waitedInVainMs = 0

  const unansweredMs = (now: number) => waitingSince === undefined ? 0 : now - Math.max(waitingSince, answeredAt)

  return {
    track (at) {
      const write = { at }
      pending.add(write)
      waitingSince ??= at
      return (answered, now) => {
        waitedInVainMs = answered ? 0 : Math.max(waitedInVainMs, unansweredMs(now))
        pending.delete(write)
        if (answered) answeredAt = now
        if (pending.size === 0) waitingSince = undefined
      }
    },
    stuckMs (now) {
      const waitedMs = unansweredMs(now)
      return waitedMs >= REPEATED_WAIT_MS ? waitedMs + waitedInVainMs : waitedMs
    },
    isStalled: (now, stalledAfterMs) => Math.max(waitedInVainMs, unansweredMs(now)) >= stalledAfterMs,
    hasPending: () => pending.size > 0,
    oldestSentAt () {
      const [oldest] = pending
      return oldest?.at ?? Infinity
    },
  }
}
