/** Estimates how long a request will wait, from how long others held their slots. */
export interface WaitEstimate {
  /** Notes how long a request held a slot, in ms. */
  record: (heldMs: number) => void
  /** Average time that a request holds a slot, in ms. */
  heldMs: () => number
  /** Expected wait behind others, in ms. */
  expectedWaitMs: (ahead: number, slots: number) => number
}

/** Weight of the newest request in the moving average. */
const NEWEST_WEIGHT = 0.05
const FIRST_GUESS_MS = 2

/** Creates an estimate from a first guess, in ms. */
export function createWaitEstimate (firstGuessMs = FIRST_GUESS_MS): WaitEstimate {
  let averageMs = firstGuessMs
  return {
    record (heldMs) {
      averageMs += NEWEST_WEIGHT * (heldMs - averageMs)
    },
    heldMs: () => averageMs,
    expectedWaitMs: (ahead, slots) => ahead * averageMs / Math.max(1, slots),
  }
}
