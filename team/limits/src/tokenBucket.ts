import { type BucketSize } from './bucketSize.js'

/** A token bucket. Tokens of operations that turn out not to have been sent can be returned. */
export interface TokenBucket {
  tokens: number
  /** Time up to which the bucket is filled, in ms. */
  filledAt: number
  /** Tokens taken whose operation has neither been sent nor refused. */
  outstanding: number
  /** Highest content since a token has been outstanding. */
  peak: number
}

/** Creates a bucket with some tokens, at most its capacity. */
export function createTokenBucket (size: BucketSize, tokens: number, now: number): TokenBucket {
  return { tokens: Math.min(size.capacity, tokens), filledAt: now, outstanding: 0, peak: 0 }
}

/** Fills a bucket for the time that has passed and cuts it to its capacity. A clock that goes back adds nothing. */
export function fillBucket (bucket: TokenBucket, { fillPerMs, capacity }: BucketSize, now: number): void {
  const elapsedMs = Math.max(0, now - bucket.filledAt)
  bucket.tokens = Math.min(capacity, bucket.tokens + elapsedMs * fillPerMs)
  bucket.filledAt = Math.max(bucket.filledAt, now)
  bucket.peak = Math.max(bucket.peak, bucket.tokens)
}

/** Adds tokens, up to the capacity. */
export function addTokens (bucket: TokenBucket, { capacity }: BucketSize, tokens: number): void {
  bucket.tokens = Math.min(capacity, bucket.tokens + tokens)
  bucket.peak = Math.max(bucket.peak, bucket.tokens)
}

/** Takes one token from a filled bucket; false if there is none. Each token must be settled or returned. */
export function takeToken (bucket: TokenBucket): boolean {
  if (bucket.tokens < 1) return false
  bucket.tokens -= 1
  if (bucket.outstanding === 0) bucket.peak = bucket.tokens
  bucket.outstanding += 1
  return true
}

/** Records that the operation of a token was sent. */
export function settleToken (bucket: TokenBucket): void {
  bucket.outstanding = Math.max(0, bucket.outstanding - 1)
}

/**
 * Returns the token of an operation that was not sent to a filled bucket. What the bucket would have lost by overflowing, had it
 * held the token all along, is not returned: otherwise a full bucket could be used twice within one window.
 */
export function returnToken (bucket: TokenBucket, { capacity }: BucketSize): void {
  if (bucket.outstanding === 0) return
  const returned = Math.min(1, Math.max(0, capacity - bucket.peak))
  bucket.tokens += returned
  bucket.peak += returned
  bucket.outstanding -= 1
}

/** Takes a token for an operation that does not come from the bucket; it is settled or returned like those of the bucket. */
export function borrowToken (bucket: TokenBucket): void {
  if (bucket.outstanding === 0) bucket.peak = bucket.tokens
  bucket.outstanding += 1
}
