/** The statements at work on an instance; more than the limit wait their turn. */
export function createSlots (limit: number) {
  const waiting: Array<() => void> = []
  let active = 0
  let mostWanted = 0
  let taken = 0

  return {
    async take (): Promise<void> {
      taken += 1
      mostWanted = Math.max(mostWanted, active + waiting.length + 1)
      if (active < limit) {
        active += 1
        return
      }
      await new Promise<void>((resolve) => waiting.push(resolve))
    },
    give (): void {
      const next = waiting.shift()
      if (next === undefined) active -= 1
      else next()
    },
    /** Statements so far. */
    taken: () => taken,
    /** Most statements that were at work or waiting at once. */
    mostWanted: () => mostWanted,
  }
}

/** The slots of an instance. */
export type Slots = ReturnType<typeof createSlots>
