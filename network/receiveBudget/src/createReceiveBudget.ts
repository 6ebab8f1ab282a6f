/**
 * Why a reception was ended: it came more slowly than the least rate, it moved least for its size when the budget was exceeded, or all of
 * the budget is held by what has arrived.
 */
export type ReceptionEnd = 'tooSlow' | 'gaveWay' | 'noRoom'

/** Options of a budget. */
export interface ReceiveBudgetOptions {
  /** Bytes that may be held at one time. */
  readonly maxBytes: number
  /** Bytes of a reception that are not refused for lack of room, if all of the budget is held by what has arrived. */
  readonly smallBytes?: number
  /** Bounds on the time of a reception; absent for none. */
  readonly pace?: ReceptionPace
}

/** Bounds on the time of a reception. It counts while this process runs: a suspended one cannot receive. */
export interface ReceptionPace {
  /** Least average rate after `graceMs`, in bytes/s. */
  readonly minBytesPerS: number
  readonly graceMs: number
  /** Longest time, in ms. */
  readonly maxMs: number
}

/** Something that is being received, such as the body of a request. */
export interface Reception {
  /** Counts bytes that have arrived. It may end this reception or others. */
  add: (bytes: number) => void
  /** Everything has arrived: it is ended no more, and its bytes count until they are released. */
  complete: () => void
  release: () => void
}

/**
 * Bytes of all receptions of a process. Beyond its limit the one that moved least for its size gives way: the one whose bytes have been
 * held longest on average, and the largest of equal ones.
 */
export interface ReceiveBudget {
  /** Begins a reception; `end` is called at most once, when its bytes have to be dropped. */
  open: (end: (reason: ReceptionEnd) => void) => Reception
  heldBytes: () => number
  close: () => void
}

/** Interval at which the pace of receptions is measured, in ms. */
export const PACE_INTERVAL_MS = 1000

interface Receiving {
  readonly end: (reason: ReceptionEnd) => void
  bytes: number
  /** Average time at which the bytes arrived, in ms as `performance.now()`; Infinity without any. */
  arrivedAt: number
  /** Number of measurements of the pace since its beginning. */
  measurements: number
}

/** Creates a budget of which nothing is held. */
export function createReceiveBudget ({ maxBytes, smallBytes = 0, pace }: ReceiveBudgetOptions): ReceiveBudget {
  const receiving = new Set<Receiving>()
  let heldBytes = 0
  /** Part of `heldBytes` that is no longer being received. */
  let arrivedBytes = 0
  const timer = setInterval(() => {
    for (const item of [...receiving]) measure(item)
  }, PACE_INTERVAL_MS).unref()

  function measure (item: Receiving): void {
    item.measurements += 1
    if (pace !== undefined && isTooSlow(item, pace)) end(item, 'tooSlow')
  }

  function end (item: Receiving, reason: ReceptionEnd): void {
    drop(item)
    item.end(reason)
  }

  function drop (item: Receiving): void {
    if (!receiving.delete(item)) arrivedBytes -= item.bytes
    heldBytes -= item.bytes
    item.bytes = 0
  }

  /** Ends receptions until the budget suffices or `item`, for which room is needed, has been ended. */
  function makeRoom (item: Receiving): void {
    if (arrivedBytes + item.bytes > maxBytes) {
      if (item.bytes > smallBytes) end(item, 'noRoom')
      return
    }
    while (heldBytes > maxBytes && receiving.has(item)) end(findSlowest(receiving), 'gaveWay')
  }

  return {
    open (onEnd) {
      const item: Receiving = { end: onEnd, bytes: 0, arrivedAt: Infinity, measurements: 0 }
      receiving.add(item)
      return {
        add (bytes) {
          if (!receiving.has(item) || bytes === 0) return
          const now = performance.now()
          item.arrivedAt = item.bytes === 0 ? now : item.arrivedAt + (now - item.arrivedAt) * bytes / (item.bytes + bytes)
          item.bytes += bytes
          heldBytes += bytes
          makeRoom(item)
        },
        complete () {
          if (receiving.delete(item)) arrivedBytes += item.bytes
        },
        release: () => drop(item),
      }
    },
    heldBytes: () => heldBytes,
    close: () => clearInterval(timer),
  }
}

function isTooSlow ({ bytes, measurements }: Receiving, { minBytesPerS, graceMs, maxMs }: ReceptionPace): boolean {
  const ms = measurements * PACE_INTERVAL_MS
  return ms >= maxMs || bytes < minBytesPerS * (ms - graceMs) / 1000
}

function findSlowest (receiving: ReadonlySet<Receiving>): Receiving {
  return [...receiving].reduce((slowest, next) => {
    if (next.arrivedAt === slowest.arrivedAt) return next.bytes > slowest.bytes ? next : slowest
    return next.arrivedAt < slowest.arrivedAt ? next : slowest
  })
}
