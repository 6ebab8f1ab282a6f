/** Creates a semaphore that limits the statements that run at once; the others wait in the order of their arrival. */
export function createSemaphore (limit: number) {
  const waiting: Array<() => void> = []
  let active = 0
  let mostWanted = 0
  let acquired = 0

  return {
    /** Resolves once a slot is free. */
    async acquire (): Promise<void> {
      acquired += 1
      mostWanted = Math.max(mostWanted, active + waiting.length + 1)
      if (active < limit) {
        active += 1
        return
      }
      await new Promise<void>((resolve) => waiting.push(resolve))
    },
    release (): void {
      const next = waiting.shift()
      if (next === undefined) active -= 1
      else next()
    },
    /** Number of calls of acquire so far. */
    acquired: () => acquired,
    /** Largest number of statements that were running or waiting at once. */
    mostWanted: () => mostWanted,
  }
}

/** Limits how many statements run at once. */
export type Semaphore = ReturnType<typeof createSemaphore>
