/**
 * Work that waits for a slot. Lower rank goes first; among equals, what arrived first, or last while there is more than can
 * be on time: served in the order of arrival, a backlog would make everything late that comes after it.
 */
export interface WaitingWork {
  readonly rank: number
  /** True if only the primary can run it. */
  readonly needsPrimary: boolean
  /** When it began to wait, in ms. */
  readonly since: number
  /** Time from which its answer is late, in ms; work that can still be on time goes before late work of its rank. */
  readonly lateAt: number
  /** Time after which it must have been refused, in ms. */
  readonly expiresAt: number
  /** Cheap first look at whether it could start; asked of all that waits each time a slot is free. */
  readonly mayStart: () => boolean
  /** Tries to start it; true if it started. */
  readonly start: () => boolean
  readonly expire: () => void
}

/** Amounts of waiting work. */
export interface Ahead {
  readonly all: number
  readonly needPrimary: number
}

/** A queue in the order of rank. */
export interface WorkQueue {
  push: (work: WaitingWork) => void
  /** Starts what can be started while something is free, and expires what is due on the way. */
  serve: (now: number, isAnyFree: () => boolean) => void
  /** Work that would go before a new one of a rank that can still be on time, and what of it needs the primary. */
  ahead: (rank: number, now: number) => Ahead
  remove: (work: WaitingWork) => void
  /** Takes all out. */
  takeAll: () => readonly WaitingWork[]
  size: () => number
}

interface Walk {
  readonly isChosen: (work: WaitingWork) => boolean
  readonly isNewestFirst: boolean
  readonly isAnyFree: () => boolean
}

/** Creates an empty queue. */
export function createWorkQueue (): WorkQueue {
  /** Work of one rank in the order of arrival; ranks in their order. */
  const byRank = new Map<number, WaitingWork[]>()
  let ranks: readonly number[] = []
  let size = 0
  let serving = false

  function listOf (rank: number): WaitingWork[] {
    const known = byRank.get(rank)
    if (known !== undefined) return known
    const list: WaitingWork[] = []
    byRank.set(rank, list)
    ranks = [...byRank.keys()].sort((a, b) => a - b)
    return list
  }

  function remove (work: WaitingWork): void {
    const list = listOf(work.rank)
    const place = list.indexOf(work)
    if (place < 0) return
    list.splice(place, 1)
    size -= 1
  }

  /** True if the work left the queue. */
  function tryStart (work: WaitingWork, now: number): boolean {
    const isDue = now >= work.expiresAt
    if (!isDue && !(work.mayStart() && work.start())) return false
    remove(work)
    if (isDue) work.expire()
    return true
  }

  /** Tries all that a choice lets through, oldest or newest first, while something is free. */
  function startEach (list: readonly WaitingWork[], now: number, { isChosen, isNewestFirst, isAnyFree }: Walk): void {
    let place = isNewestFirst ? list.length - 1 : 0
    while (place >= 0 && place < list.length && isAnyFree()) {
      const hasLeft = isChosen(list[place]) && tryStart(list[place], now)
      if (isNewestFirst) place -= 1
      else if (!hasLeft) place += 1
    }
  }

  function serveRank (list: readonly WaitingWork[], now: number, isAnyFree: () => boolean): void {
    const isOnTime = (work: WaitingWork) => !isLate(work, now)
    const oldest = list.find(isOnTime)
    if (oldest !== undefined) startEach(list, now, { isChosen: isOnTime, isNewestFirst: isPressed(oldest, now), isAnyFree })
    startEach(list, now, { isChosen: (work) => isLate(work, now), isNewestFirst: false, isAnyFree })
  }

  return {
    push (work) {
      listOf(work.rank).push(work)
      size += 1
    },
    serve (now, isAnyFree) {
      if (serving || size === 0 || !isAnyFree()) return
      serving = true
      for (const rank of ranks) serveRank(listOf(rank), now, isAnyFree)
      serving = false
    },
    ahead (rank, now) {
      let all = 0
      let needPrimary = 0
      for (const other of ranks) {
        if (other > rank) break
        for (const work of listOf(other)) {
          if (other === rank && isLate(work, now)) continue
          all += 1
          if (work.needsPrimary) needPrimary += 1
        }
      }
      return { all, needPrimary }
    },
    remove,
    takeAll () {
      const all = ranks.flatMap((rank) => listOf(rank))
      byRank.clear()
      ranks = []
      size = 0
      return all
    },
    size: () => size,
  }
}

/** Part of the time to lateness after whose wait the oldest work shows that not all can be on time. */
const PRESSED_PART = 0.5

/** True if the oldest work that can still be on time has waited so long that what came after it will be late in its turn. */
function isPressed ({ since, lateAt }: WaitingWork, now: number): boolean {
  return now - since > (lateAt - since) * PRESSED_PART
}

/** Late work gives way to work of its rank that can still be on time. */
function isLate ({ lateAt }: WaitingWork, now: number): boolean {
  return now >= lateAt
}
