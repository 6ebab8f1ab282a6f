/** Estimates how long a request will wait, from how long others held their slots. */
export interface WaitEstimate {
  /** Notes how long a request held a slot, in ms. */
  note: (heldMs: number) => void
  /** Average time that a request holds a slot, in ms. */
  heldMs: () => number
  /** Expected wait behind others, in ms. */
  expectedMs: (ahead: number, slots: number) => number
}

/** Weight of the newest request in the moving average. */
const NEWEST_WEIGHT = 0.05
const FIRST_GUESS_MS = 2

/** Creates an estimate from a first guess, in ms. */
export function createWaitEstimate (firstGuessMs = FIRST_GUESS_MS): WaitEstimate {
  let averageMs = firstGuessMs
  return {
    note (heldMs) {
      averageMs += NEWEST_WEIGHT * (heldMs - averageMs)
    },
    heldMs: () => averageMs,
    expectedMs: (ahead, slots) => ahead * averageMs / Math.max(1, slots),
  }
}
