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
}

/** Part of the allowed overage that all homes use as a floor beside their shares, together. */
const FLOOR_PART = 0.25
/** Part of the rest of the tolerance that is room in the homes' buckets; control lends what remains. */
const ROOM_PART = 0.4

/** Part of the burst that control lends; the rest is room in the homes' buckets, by their shares. */
const LENT_BURST_PART = 0.25

/**
 * Sizes a bucket so that in each window all homes together admit at most (rate × window + burst) × (1 + overage) + slack.
 * The shares use the limit itself and the floors a part of the overage. A part of what remains of the tolerance is room beside the
 * shares: each database sees only a part of a team's operations, which varies more than the whole.
 */
export function bucketSizeOf (limit: TeamLimit, { share, databases, tolerance }: BucketSizeOptions): BucketSize {
  const { ratePerS } = limit
  const homes = Math.max(1, databases)
  if (operationsIn(limit, tolerance) === 0) return { fillPerMs: 0, capacity: 0 }
  const usable = share + FLOOR_PART * tolerance.overage / homes
  const capacity = usable * (1 - LENT_BURST_PART) * sharedBurstOf(limit) + ROOM_PART * spareOf(limit, tolerance) / homes
  return {
    fillPerMs: usable * ratePerS / 1000,
    // A single bucket that never holds a whole token would admit nothing.
    capacity: homes === 1 ? Math.max(1, capacity) : capacity,
  }
}

/** Operations that all leaderships together may lend to the homes within a window, beside what their buckets hold. */
export function reserveOf (limit: TeamLimit, tolerance: RateLimitTolerance): number {
  return operationsIn(limit, tolerance) === 0 ? 0 : LENT_BURST_PART * sharedBurstOf(limit) + (1 - ROOM_PART) * spareOf(limit, tolerance)
}

function operationsIn ({ ratePerS, burst }: TeamLimit, { windowMs }: RateLimitTolerance): number {
  return ratePerS * windowMs / 1000 + burst
}

/** Burst that the shares divide; a whole operation at least. */
function sharedBurstOf ({ burst }: TeamLimit): number {
  return Math.max(1, burst)
}

/** What the tolerance allows in a window beside shares and floors. */
function spareOf (limit: TeamLimit, tolerance: RateLimitTolerance): number {
  const { overage, slack } = tolerance
  return Math.max(0, (1 - FLOOR_PART) * overage * operationsIn(limit, tolerance) + slack - (sharedBurstOf(limit) - limit.burst))
}
