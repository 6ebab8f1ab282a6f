/** Work that waits for a slot. Lower rank goes first; among equals, what arrived first. */
export interface WaitingWork {
  readonly rank: number
  /** Time after which it must have been refused, in ms. */
  readonly expiresAt: number
  /** Tries to start it; true if it started. */
  readonly start: () => boolean
  readonly expire: () => void
}

/** A queue in the order of rank. */
export interface WorkQueue {
  push: (work: WaitingWork) => void
  /** Starts all that can be started, and expires what is due. */
  serve: (now: number) => void
  /** Work that would go before a new one of a rank. */
  ahead: (rank: number) => number
  remove: (work: WaitingWork) => void
  /** Takes all out. */
  takeAll: () => readonly WaitingWork[]
  size: () => number
}

/** Creates an empty queue. */
export function createWorkQueue (): WorkQueue {
  let waiting: WaitingWork[] = []
  let serving = false

  return {
    push (work) {
      const place = waiting.findIndex(({ rank }) => rank > work.rank)
      if (place < 0) waiting.push(work)
      else waiting.splice(place, 0, work)
    },
    serve (now) {
      if (serving || waiting.length === 0) return
      serving = true
      for (const work of [...waiting]) {
        const isDue = now >= work.expiresAt
        if (!isDue && !work.start()) continue
        waiting = waiting.filter((other) => other !== work)
        if (isDue) work.expire()
      }
      serving = false
    },
    ahead: (rank) => waiting.filter((work) => work.rank <= rank).length,
    remove (work) {
      waiting = waiting.filter((other) => other !== work)
    },
    takeAll () {
      const all = waiting
      waiting = []
      return all
    },
    size: () => waiting.length,
  }
}
