/**
 * Work that waits for a slot. Lower ranks go first. Within a rank the order is FIFO, or LIFO while there is more work than can
 * be on time: in FIFO order a backlog would delay all later work beyond its latency target as well.
 */
export interface QueuedWork {
  /** Lower ranks go first. */
  readonly rank: number
  /** True if only the primary can run it. */
  readonly needsPrimary: boolean
  /** Time when it was queued, in ms. */
  readonly queuedAt: number
  /** Time from which a start misses the latency target, in ms; late work goes after work of its rank that can be on time. */
  readonly lateAt: number
  /** Time from which it is rejected, in ms. */
  readonly expiresAt: number
  /** Cheap check whether it could start; called for all waiting work each time that a slot becomes free. */
  readonly canStart: () => boolean
  /** Tries to start it; true if it started. */
  readonly start: () => boolean
  /** Called when it is removed at `expiresAt`, or rejected. */
  readonly expire: () => void
}

/** Number of queued items ahead of a new one. */
export interface WorkAhead {
  readonly all: number
  readonly needPrimary: number
}

/** Priority queue of work that waits for slots. */
export interface WorkQueue<W extends QueuedWork = QueuedWork> {
  push: (work: W) => void
  /** Starts work while `hasCapacity` holds, and expires the overdue work that it encounters. */
  serve: (now: number, hasCapacity: () => boolean) => void
  /** Counts the work that would start before a new item of this rank that can be on time, and how much of it needs the primary. */
  ahead: (rank: number, now: number) => WorkAhead
  remove: (work: W) => void
  /** Removes and returns all work. */
  takeAll: () => readonly W[]
  size: () => number
}

interface Scan {
  readonly isIncluded: (work: QueuedWork) => boolean
  readonly isNewestFirst: boolean
  readonly hasCapacity: () => boolean
}

/** Creates an empty queue. */
export function createWorkQueue<W extends QueuedWork = QueuedWork> (): WorkQueue<W> {
  /** Work of each rank, in order of arrival. */
  const byRank = new Map<number, W[]>()
  let ranks: readonly number[] = []
  let size = 0
  let serving = false

  function queueOf (rank: number): W[] {
    const known = byRank.get(rank)
    if (known !== undefined) return known
    const list: W[] = []
    byRank.set(rank, list)
    ranks = [...byRank.keys()].sort((a, b) => a - b)
    return list
  }

  function remove (work: W): void {
    const list = queueOf(work.rank)
    const index = list.indexOf(work)
    if (index < 0) return
    list.splice(index, 1)
    size -= 1
  }

  /** Starts or expires the work; true if it left the queue. */
  function tryRemove (work: W, now: number): boolean {
    const isDue = now >= work.expiresAt
    if (!isDue && !(work.canStart() && work.start())) return false
    remove(work)
    if (isDue) work.expire()
    return true
  }

  /** Tries to start the included work, oldest or newest first, while there is capacity. */
  function startMatching (list: readonly W[], now: number, { isIncluded, isNewestFirst, hasCapacity }: Scan): void {
    let index = isNewestFirst ? list.length - 1 : 0
    while (index >= 0 && index < list.length && hasCapacity()) {
      const hasLeft = isIncluded(list[index]) && tryRemove(list[index], now)
      if (isNewestFirst) index -= 1
      else if (!hasLeft) index += 1
    }
  }

  function serveRank (list: readonly W[], now: number, hasCapacity: () => boolean): void {
    const isOnTime = (work: QueuedWork) => !isLate(work, now)
    const oldest = list.find(isOnTime)
    if (oldest !== undefined) startMatching(list, now, { isIncluded: isOnTime, isNewestFirst: isOverloaded(oldest, now), hasCapacity })
    startMatching(list, now, { isIncluded: (work) => isLate(work, now), isNewestFirst: false, hasCapacity })
  }

  return {
    push (work) {
      queueOf(work.rank).push(work)
      size += 1
    },
    serve (now, hasCapacity) {
      if (serving || size === 0 || !hasCapacity()) return
      serving = true
      for (const rank of ranks) serveRank(queueOf(rank), now, hasCapacity)
      serving = false
    },
    ahead (rank, now) {
      let all = 0
      let needPrimary = 0
      for (const other of ranks) {
        if (other > rank) break
        for (const work of queueOf(other)) {
          if (other === rank && isLate(work, now)) continue
          all += 1
          if (work.needsPrimary) needPrimary += 1
        }
      }
      return { all, needPrimary }
    },
    remove,
    takeAll () {
      const all = ranks.flatMap((rank) => queueOf(rank))
      byRank.clear()
      ranks = []
      size = 0
      return all
    },
    size: () => size,
  }
}

/** Fraction of its time to the latency target that the oldest work may wait before the queue counts as overloaded. */
const OVERLOAD_FRACTION = 0.5

/** True if the oldest work that can still be on time has waited so long that work queued after it would be late in FIFO order. */
export function isOverloaded ({ queuedAt, lateAt }: QueuedWork, now: number): boolean {
  return now - queuedAt > (lateAt - queuedAt) * OVERLOAD_FRACTION
}

/** True if a start now misses the latency target. */
export function isLate ({ lateAt }: QueuedWork, now: number): boolean {
  return now >= lateAt
}
