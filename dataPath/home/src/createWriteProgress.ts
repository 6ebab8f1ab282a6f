/** Distinguishes a primary that acknowledges no writes from one whose response to a single write was lost. */
export interface WriteProgress {
  /** Records a sent write; the returned function is to be called when the write ends, with whether it was answered. */
  track: (now: number) => (answered: boolean, now: number) => void
  /** Time for which writes have been waiting with no write answered, in ms; 0 if none waits. */
  stuckMs: (now: number) => number
  /** True while a write waits for its response. */
  hasPending: () => boolean
}

/** Creates a progress record without writes. */
export function createWriteProgress (): WriteProgress {
  const pending = new Set<{ readonly at: number }>()
  let answeredAt = -Infinity
  return {
    track (at) {
      const write = { at }
      pending.add(write)
      return (answered, now) => {
        pending.delete(write)
        if (answered) answeredAt = now
      }
    },
    stuckMs (now) {
      const [oldest] = pending
      return oldest === undefined ? 0 : now - Math.max(oldest.at, answeredAt)
    },
    hasPending: () => pending.size > 0,
  }
}
