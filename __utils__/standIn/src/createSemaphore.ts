/** The statements at work on an instance; more than the limit wait their turn. */
export function createSemaphore (limit: number) {
  const waiting: Array<() => void> = []
  let active = 0
  let mostWanted = 0
  let acquired = 0

  return {
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
    /** Statements so far. */
    acquired: () => acquired,
    /** Most statements that were at work or waiting at once. */
    mostWanted: () => mostWanted,
  }
}

/** The slots of an instance. */
export type Semaphore = ReturnType<typeof createSemaphore>
