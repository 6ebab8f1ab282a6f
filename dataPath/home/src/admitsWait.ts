/** What is known of a request that would have to wait; times in ms. */
export interface WaitOutlook {
  /** Time left until its deadline. */
  readonly leftMs: number
  /** Time in which it can begin and still be on time; not above 0 if it is late whatever happens. */
  readonly onTimeMs: number
  /** Expected wait behind what goes before it. */
  readonly expectedMs: number
}

/** Part of the time to its deadline that a request may be expected to wait; the rest is for its work. */
const PART_TO_DEADLINE = 0.5
/** Part of the time to lateness; under half, from where on the queue takes its work for too much and turns its order. */
const PART_TO_LATENESS = 0.35

/**
 * True if a request is worth its wait. One that can be on time is admitted only if it is expected to be: under overload a slot
 * then serves somebody in time, and the caller of the refused one comes back sooner than after a wait in vain.
 */
export function admitsWait ({ leftMs, onTimeMs, expectedMs }: WaitOutlook): boolean {
  if (expectedMs > leftMs * PART_TO_DEADLINE) return false
  return onTimeMs <= 0 || expectedMs <= onTimeMs * PART_TO_LATENESS
}
