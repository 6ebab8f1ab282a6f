/** Tells a primary that acknowledges no write from one that lost a single answer. */
export interface WriteProgress {
  /** Notes a write that was sent; the returned function is called with its end. */
  sent: (now: number) => (answered: boolean, now: number) => void
  /** Time for which writes have waited and none has been answered, in ms; 0 if none waits. */
  stuckMs: (now: number) => number
  /** True while a write waits. */
  isWaiting: () => boolean
}

/** Creates a record without writes. */
export function createWriteProgress (): WriteProgress {
  const waiting = new Set<{ readonly at: number }>()
  let answeredAt = -Infinity
  return {
    sent (at) {
      const mark = { at }
      waiting.add(mark)
      return (answered, now) => {
        waiting.delete(mark)
        if (answered) answeredAt = now
      }
    },
    stuckMs (now) {
      const [oldest] = waiting
      return oldest === undefined ? 0 : now - Math.max(oldest.at, answeredAt)
    },
    isWaiting: () => waiting.size > 0,
  }
}
