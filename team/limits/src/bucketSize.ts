import { type RateLimitTolerance } from '@briarpick/types'

/** Limit of one team, over all databases together. */
export interface TeamLimit {
  /** Operations per second. */
  readonly ratePerS: number
  /** Operations that may exceed the rate at once. */
  readonly burst: number
}

/** What the size of a bucket depends on besides the limit. */
export interface BucketSizeOptions {
  /** Share of the limit that the leader gave to the database; 0 while the home does not know it. */
  readonly share: number
  /** Number of databases, each of which may have a bucket for the team. */
  readonly databases: number
  readonly tolerance: RateLimitTolerance
}

/** Size of the token bucket of one team in one home; one token is one operation. */
export interface BucketSize {
  readonly fillPerMs: number
  readonly capacity: number
  /** Tokens with which a bucket may start, at most twice for each database within a window. */
  readonly initial: number
}

/** Part of the allowed overage that all homes use as a floor beside their shares, together. */
const FLOOR_PART = 0.25
/** Part of the tolerance that may serve for a whole operation in each home; what is left serves for starts. */
const MAX_WHOLE_OPERATIONS_PART = 0.5
/** Starts of each home within a window for which the tolerance must suffice. */
export const STARTS_IN_WINDOW = 2

/**
 * Sizes a bucket so that in each window all homes together admit at most (rate × window + burst) × (1 + overage) + slack:
 * the shares use the limit itself; the floors use a part of the overage; whole operations and starts use the rest and the slack.
 */
export function bucketSizeOf ({ ratePerS, burst }: TeamLimit, { share, databases, tolerance }: BucketSizeOptions): BucketSize {
  const { windowMs, overage, slack } = tolerance
  const homes = Math.max(1, databases)
  const inWindow = ratePerS * windowMs / 1000 + burst
  if (inWindow === 0) return { fillPerMs: 0, capacity: 0, initial: 0 }
  const usable = share + FLOOR_PART * overage / homes
  const spare = (1 - FLOOR_PART) * overage * inWindow + slack
  const wholeOperation = homes === 1 || homes <= spare * MAX_WHOLE_OPERATIONS_PART ? 1 : 0
  const capacity = Math.max(wholeOperation, usable * Math.max(1, burst))
  const forStarts = Math.max(0, spare - wholeOperation * homes)
  return {
    fillPerMs: usable * ratePerS / 1000,
    capacity,
    initial: Math.min(capacity, forStarts / (STARTS_IN_WINDOW * homes)),
  }
}
