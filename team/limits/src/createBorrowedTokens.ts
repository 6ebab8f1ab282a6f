import { LOAN_VALID_MS } from './createTeamReserve.js'
import { borrowToken, type TokenBucket } from './tokenBucket.js'

/** Tokens of one team that a home has borrowed from control for operations that found its bucket empty. */
export interface BorrowedTokens {
  /** Records that a loan is wanted; returns the time in which it is expected, in ms, or undefined if none can be had now. */
  request: (now: number) => number | undefined
  /** Records the response of control; without tokens, control has none to lend for a while. */
  receive: (tokens: number, now: number) => void
  /** Takes a borrowed token by way of the bucket, which settles or returns it; false if there is none. */
  take: (bucket: TokenBucket, now: number) => boolean
}

/** Longest wait for a loan, in ms: a renewal, its response, and a retry. */
const LOAN_WAIT_MS = 150
/** Time after a request without a loan until the next one, in ms: a team beyond its limit has to wait for its tokens. */
const LOAN_RETRY_MS = 500

/** Creates a state without tokens. */
export function createBorrowedTokens (): BorrowedTokens {
  let tokens = 0
  let validUntil = -Infinity
  let requestedAt: number | undefined
  let nextRequestAt = -Infinity

  return {
    request (now) {
      if (now < nextRequestAt) return undefined
      if (requestedAt !== undefined && now - requestedAt >= LOAN_WAIT_MS) {
        requestedAt = undefined
        nextRequestAt = now + LOAN_RETRY_MS
        return undefined
      }
      requestedAt ??= now
      return LOAN_WAIT_MS - (now - requestedAt)
    },
    receive (received, now) {
      requestedAt = undefined
      if (received === 0) nextRequestAt = now + LOAN_RETRY_MS
      tokens = (now < validUntil ? tokens : 0) + received
      validUntil = now + LOAN_VALID_MS
    },
    take (bucket, now) {
      if (tokens < 1 || now >= validUntil) return false
      tokens -= 1
      borrowToken(bucket)
      return true
    },
  }
}
