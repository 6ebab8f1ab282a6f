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
  /** Tokens with which a bucket may start, at most once for each database within a window, and once more if control was restarted. */
  readonly initial: number
}

/** Part of the allowed overage that all homes use as a floor beside their shares, together. */
const FLOOR_PART = 0.25
/** Starts of each home with tokens for which the tolerance must suffice in a window: one, and one more if control was restarted. */
const STARTS_IN_WINDOW = 2
/** Part of a home's tolerance with which it may start. */
const START_PART = 0.25

/**
 * Sizes a bucket so that in each window all homes together admit at most (rate × window + burst) × (1 + overage) + slack.
 * The shares use the limit itself and the floors a part of the overage. The rest of the overage and the slack are room beside the shares:
 * each database sees only a part of a team's operations, which varies more than the whole.
 */
export function bucketSizeOf ({ ratePerS, burst }: TeamLimit, { share, databases, tolerance }: BucketSizeOptions): BucketSize {
  const { windowMs, overage, slack } = tolerance
  const homes = Math.max(1, databases)
  const inWindow = ratePerS * windowMs / 1000 + burst
  if (inWindow === 0) return { fillPerMs: 0, capacity: 0, initial: 0 }
  const usable = share + FLOOR_PART * overage / homes
  const sharedBurst = Math.max(1, burst)
  const spare = Math.max(0, (1 - FLOOR_PART) * overage * inWindow + slack - (sharedBurst - burst))
  const initial = START_PART * spare / homes
  const room = spare / homes - initial * STARTS_IN_WINDOW
  const capacity = usable * sharedBurst + room
  return {
    fillPerMs: usable * ratePerS / 1000,
    // A single bucket that never holds a whole token would admit nothing.
    capacity: homes === 1 ? Math.max(1, capacity) : capacity,
    initial,
  }
}
