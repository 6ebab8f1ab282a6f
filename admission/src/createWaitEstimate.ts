/** Estimates the queueing delay of a request from the service times of completed ones. */
export interface WaitEstimate {
  /** Records a service time: the time for which a request occupied its slot, in ms. */
  record: (serviceTimeMs: number) => void
  /** Moving average of the service time, in ms. */
  meanServiceTimeMs: () => number
  /** Expected wait behind `ahead` requests that are served by `slots` slots, in ms. */
  expectedWaitMs: (ahead: number, slots: number) => number
}

/** Weight of the newest service time in the exponential moving average. */
const NEWEST_WEIGHT = 0.05
const INITIAL_SERVICE_TIME_MS = 2

/** Creates an estimate that starts from an initial service time, in ms. */
export function createWaitEstimate (initialServiceTimeMs = INITIAL_SERVICE_TIME_MS): WaitEstimate {
  let averageMs = initialServiceTimeMs
  return {
    record (serviceTimeMs) {
      averageMs += NEWEST_WEIGHT * (serviceTimeMs - averageMs)
    },
    meanServiceTimeMs: () => averageMs,
    expectedWaitMs: (ahead, slots) => ahead * averageMs / Math.max(1, slots),
  }
}
