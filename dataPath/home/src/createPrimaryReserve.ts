/**
 * Slots of the primary that reads leave to writes, for the load of a flood of reads: as many as writes used on average lately.
 */
export interface PrimaryReserve {
  /** Records that a write or a transaction statement on the primary has got a slot (1) or released it (-1). */
  record: (change: 1 | -1, now: number) => void
  /** Slots of the primary that a read leaves free if a replica can serve it too. */
  reservedSlots: (slots: number, now: number) => number
}

/** Time in which a change of the use counts for 1 - 1/e, in ms: long against a statement and short against a burst. */
const AVERAGING_TIME_MS = 500

/** Creates a reserve without slots. */
export function createPrimaryReserve (): PrimaryReserve {
  let inUse = 0
  let average = 0
  let updatedAt = 0

  function update (now: number): void {
    average += (inUse - average) * (1 - Math.exp(-Math.max(0, now - updatedAt) / AVERAGING_TIME_MS))
    updatedAt = now
  }

  return {
    record (change, now) {
      update(now)
      inUse = Math.max(0, inUse + change)
    },
    reservedSlots (slots, now) {
      update(now)
      const free = Math.max(0, Math.round(average) - inUse)
      return Math.min(slots - 1, free)
    },
  }
}
