/** Work that waits for a slot. Lower rank goes first; among equals, what arrived first. */
export interface WaitingWork {
  readonly rank: number
  /** Time from which its answer is late, in ms; work that can still be on time goes before late work of its rank. */
  readonly lateAt: number
  /** Time after which it must have been refused, in ms. */
  readonly expiresAt: number
  /** Tries to start it; true if it started. */
  readonly start: () => boolean
  readonly expire: () => void
}

/** What lateness adds to a rank; ranks are whole numbers. */
const LATE_RANK = 0.5

/** A queue in the order of rank. */
export interface WorkQueue {
  push: (work: WaitingWork) => void
  /** Starts all that can be started, and expires what is due. */
  serve: (now: number) => void
  /** Work that would go before a new one of a rank that can still be on time. */
  ahead: (rank: number, now: number) => number
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
    push: (work) => { waiting.push(work) },
    serve (now) {
      if (serving || waiting.length === 0) return
      serving = true
      const inOrder = [...waiting].sort((a, b) => rankAt(a, now) - rankAt(b, now))
      for (const work of inOrder) {
        const isDue = now >= work.expiresAt
        if (!isDue && !work.start()) continue
        waiting = waiting.filter((other) => other !== work)
        if (isDue) work.expire()
      }
      serving = false
    },
    ahead: (rank, now) => waiting.filter((work) => rankAt(work, now) <= rank).length,
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

/** Rank at a time: late work gives way to work that can still be on time. */
function rankAt ({ rank, lateAt }: WaitingWork, now: number): number {
  return now >= lateAt ? rank + LATE_RANK : rank
}
