/** Moving average of the operations that callers of a team ask for. */
export interface DemandEstimate {
  /** Operations per ms up to `at`; low at first, see `demandPerMs`. */
  perMs: number
  /** Time of the last change, in ms. */
  at: number
  readonly since: number
}

/** Time constant of the moving average, in ms. */
const DEMAND_TIME_MS = 3000
/** Shortest time from which the demand of a new team is extrapolated, in ms. */
const MIN_DEMAND_AGE_MS = 1000
/** Relative change of a demand that is worth a report. */
const REPORTED_CHANGE = 0.25
/** Change of a demand that is worth a report, in standard deviations of its estimate. */
const REPORTED_DEVIATIONS = 2

/** Creates an estimate without operations; times are in ms. */
export function createDemandEstimate (now: number): DemandEstimate {
  return { perMs: 0, at: now, since: now }
}

/** Counts an operation. */
export function countOperation (estimate: DemandEstimate, now: number): void {
  decay(estimate, now)
  estimate.perMs += 1 / DEMAND_TIME_MS
}

/** Operations asked for per ms, corrected for the time before the first one. */
export function demandPerMs (estimate: DemandEstimate, now: number): number {
  decay(estimate, now)
  const ageMs = Math.max(MIN_DEMAND_AGE_MS, now - estimate.since)
  return estimate.perMs / -Math.expm1(-ageMs / DEMAND_TIME_MS)
}

/** True if two demands differ by a large part of the higher one. */
export function isLargeChange (wanted: number, otherWanted: number): boolean {
  return Math.abs(wanted - otherWanted) > REPORTED_CHANGE * Math.max(wanted, otherWanted)
}

/** True if two demands, in operations per ms, differ by more than estimates vary of operations that arrive independently. */
export function isUnusualChange (perMs: number, otherPerMs: number): boolean {
  return Math.abs(perMs - otherPerMs) > REPORTED_DEVIATIONS * Math.sqrt(Math.max(perMs, otherPerMs) / DEMAND_TIME_MS)
}

function decay (estimate: DemandEstimate, now: number): void {
  estimate.perMs *= Math.exp(-Math.max(0, now - estimate.at) / DEMAND_TIME_MS)
  estimate.at = Math.max(estimate.at, now)
}
