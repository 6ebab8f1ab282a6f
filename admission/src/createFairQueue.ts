/** A queue served round-robin by caller, so that a caller with many items does not starve the others. */
export interface FairQueue<T> {
  /** Appends an item to those of the caller. */
  push: (caller: string, item: T) => void
  /** Offers items to the visitor, round-robin by caller, until it returns `stop`; removes the items that it takes. */
  visit: (visitor: (item: T) => Visit) => void
  /** Removes an item; false if it is not in the queue. */
  remove: (caller: string, item: T) => boolean
  /** Removes and returns the newest item of the caller with the most items, if that caller has more than `moreThan`. */
  evictLargest: (moreThan: number) => T | undefined
  /** Number of callers with items. */
  callers: () => number
  size: () => number
  sizeOf: (caller: string) => number
}

/** Result of a visit: take the item, leave it in the queue, or stop visiting. */
export type Visit = 'take' | 'leave' | 'stop'

/** Creates an empty queue. */
export function createFairQueue<T> (): FairQueue<T> {
  const byCaller = new Map<string, T[]>()
  let size = 0

  function removeAt (caller: string, items: T[], index: number): void {
    items.splice(index, 1)
    size -= 1
    if (items.length === 0) byCaller.delete(caller)
  }

  /** Moves a caller behind the others. */
  function moveToBack (caller: string): void {
    const items = byCaller.get(caller)
    if (items === undefined) return
    byCaller.delete(caller)
    byCaller.set(caller, items)
  }

  function offer (caller: string, items: T[], index: number, visitor: (item: T) => Visit): Visit {
    const result = visitor(items[index])
    if (result === 'take') {
      removeAt(caller, items, index)
      moveToBack(caller)
    }
    return result
  }

  return {
    push (caller, item) {
      const items = byCaller.get(caller)
      if (items === undefined) byCaller.set(caller, [item])
      else items.push(item)
      size += 1
    },
    visit (visitor) {
      const indexes = new Map<string, number>()
      for (let offered = true; offered;) {
        offered = false
        for (const [caller, items] of [...byCaller]) {
          const index = indexes.get(caller) ?? 0
          if (index >= items.length) continue
          offered = true
          const result = offer(caller, items, index, visitor)
          if (result === 'stop') return
          if (result === 'leave') indexes.set(caller, index + 1)
        }
      }
    },
    remove (caller, item) {
      const items = byCaller.get(caller)
      const index = items?.indexOf(item) ?? -1
      if (items === undefined || index < 0) return false
      removeAt(caller, items, index)
      return true
    },
    evictLargest (moreThan) {
      let largest: readonly [string, T[]] | undefined
      for (const entry of byCaller) {
        if (entry[1].length > (largest?.[1].length ?? moreThan)) largest = entry
      }
      if (largest === undefined) return undefined
      const [caller, items] = largest
      const item = items[items.length - 1]
      removeAt(caller, items, items.length - 1)
      return item
    },
    callers: () => byCaller.size,
    size: () => size,
    sizeOf: (caller) => byCaller.get(caller)?.length ?? 0,
  }
}
