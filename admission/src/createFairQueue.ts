/** A queue that takes turns between callers, so that one with much work does not starve the rest. */
export interface FairQueue<T> {
  push: (caller: string, item: T) => void
  /** Offers items in turn until the visitor says stop; items that it takes leave the queue. */
  visit: (visitor: (item: T) => Visit) => void
  remove: (caller: string, item: T) => boolean
  /** Takes the newest item of the caller with the most, if that has more than a number of items. */
  evictLargest: (moreThan: number) => T | undefined
  /** Callers with items. */
  callers: () => number
  size: () => number
  sizeOf: (caller: string) => number
}

/** A visitor's answer: took the item, left it, or wants no more. */
export type Visit = 'take' | 'leave' | 'stop'

/** Creates an empty queue. */
export function createFairQueue<T> (): FairQueue<T> {
  const byCaller = new Map<string, T[]>()
  let size = 0

  function drop (caller: string, items: T[], place: number): void {
    items.splice(place, 1)
    size -= 1
    if (items.length === 0) byCaller.delete(caller)
  }

  /** Puts a caller behind the others. */
  function rotate (caller: string): void {
    const items = byCaller.get(caller)
    if (items === undefined) return
    byCaller.delete(caller)
    byCaller.set(caller, items)
  }

  function visitOne (caller: string, items: T[], place: number, visitor: (item: T) => Visit): Visit {
    const answer = visitor(items[place])
    if (answer === 'take') {
      drop(caller, items, place)
      rotate(caller)
    }
    return answer
  }

  return {
    push (caller, item) {
      const items = byCaller.get(caller)
      if (items === undefined) byCaller.set(caller, [item])
      else items.push(item)
      size += 1
    },
    visit (visitor) {
      const places = new Map<string, number>()
      for (let offered = true; offered;) {
        offered = false
        for (const [caller, items] of [...byCaller]) {
          const place = places.get(caller) ?? 0
          if (place >= items.length) continue
          offered = true
          const answer = visitOne(caller, items, place, visitor)
          if (answer === 'stop') return
          if (answer === 'leave') places.set(caller, place + 1)
        }
      }
    },
    remove (caller, item) {
      const items = byCaller.get(caller)
      const place = items?.indexOf(item) ?? -1
      if (items === undefined || place < 0) return false
      drop(caller, items, place)
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
      drop(caller, items, items.length - 1)
      return item
    },
    callers: () => byCaller.size,
    size: () => size,
    sizeOf: (caller) => byCaller.get(caller)?.length ?? 0,
  }
}
