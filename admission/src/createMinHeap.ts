/** Binary heap; the smallest item is at the top. */
export interface MinHeap<T> {
  push: (item: T) => void
  /** The smallest item; undefined if the heap is empty. */
  peek: () => T | undefined
  /** Removes and returns the smallest item. */
  pop: () => T | undefined
  size: () => number
}

/** Creates an empty heap, ordered by `isBefore`. */
export function createMinHeap<T> (isBefore: (a: T, b: T) => boolean): MinHeap<T> {
  const items: T[] = []

  function siftUp (index: number): void {
    const item = items[index]
    while (index > 0) {
      const parent = (index - 1) >> 1
      if (!isBefore(item, items[parent])) break
      items[index] = items[parent]
      index = parent
    }
    items[index] = item
  }

  function siftDown (index: number): void {
    const item = items[index]
    for (;;) {
      let child = 2 * index + 1
      if (child + 1 < items.length && isBefore(items[child + 1], items[child])) child += 1
      if (child >= items.length || !isBefore(items[child], item)) break
      items[index] = items[child]
      index = child
    }
    items[index] = item
  }

  return {
    push (item) {
      items.push(item)
      siftUp(items.length - 1)
    },
    peek: () => items[0],
    pop () {
      const top = items[0]
      const last = items.pop()
      if (last !== undefined && items.length > 0) {
        items[0] = last
        siftDown(0)
      }
      return top
    },
    size: () => items.length,
  }
}
