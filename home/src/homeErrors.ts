import { BriarpickError, type ErrorCode } from '@briarpick/error'

/** Retry delay after which a lost primary is usually replaced, in ms. */
export const FAILOVER_RETRY_MS = 1500

const SHORT_RETRY_MS = 100

/** Refusal of a request that reached a proxy that is not, or is no longer, the home. */
export function notHome (database: string): BriarpickError {
  return refusal('ERR_BRIARPICK_NO_HOME', `this proxy is not the home of ${database}`, SHORT_RETRY_MS)
}

/** Refusal while no primary accepts writes. */
export function noPrimary (database: string): BriarpickError {
  return refusal('ERR_BRIARPICK_NO_PRIMARY', `${database} currently has no primary that accepts writes`, FAILOVER_RETRY_MS)
}

/** Refusal of a write while too few replicas are available to make it durable. */
export function notDurable (database: string): BriarpickError {
  return refusal('ERR_BRIARPICK_NOT_DURABLE', `too few replicas of ${database} are available to make a write durable`, FAILOVER_RETRY_MS)
}

/** Refusal of a request that is shed or whose expected wait is too long for its deadline. */
export function overloaded (database: string, expectedMs: number): BriarpickError {
  return refusal('ERR_BRIARPICK_OVERLOADED', `${database} is overloaded: not all requests can be served before their deadlines`, Math.max(SHORT_RETRY_MS, expectedMs))
}

/** Refusal of a read for which no target was fresh enough before the deadline. */
export function noFreshTarget (database: string): BriarpickError {
  return refusal('ERR_BRIARPICK_TOO_STALE', `no usable target of ${database} is fresh enough for the read`, FAILOVER_RETRY_MS)
}

/** Refusal while the home is being released. */
export function draining (database: string): BriarpickError {
  return refusal('ERR_BRIARPICK_DRAINING', `the home of ${database} is draining`, SHORT_RETRY_MS)
}

/** Error of a write that was sent and whose outcome was not confirmed. */
export function outcomeUnknown (database: string, reason: string): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_OUTCOME_UNKNOWN', `the write was sent to ${database} and its outcome is unknown: ${reason}`, {
    hint: 'check whether the change was committed before resending it, or send writes with briarpick_key',
  })
}

/** Error of a read that was sent and did not complete before its deadline. */
export function deadlinePassed (database: string): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_DEADLINE', `a target of ${database} did not respond to the read before its deadline`, {
    hint: 'retry, if needed with a longer briarpick_deadline',
    retryAfterMs: SHORT_RETRY_MS,
  })
}

/** Error of an open transaction that lost its connection, lease or term and is rolled back. */
export function transactionLost (database: string): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_TRANSACTION_LOST', `the open transaction on ${database} was lost and is rolled back`, {
    hint: 'retry the whole transaction',
    retryAfterMs: SHORT_RETRY_MS,
  })
}

/** Error of a request whose idempotency key was already used for a different request. */
export function keyReused (key: string): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_KEY_REUSED', `idempotency key ${key} was already used for a different request`, {
    hint: 'use a new key for each request, and resend a request only with its original key',
  })
}

function refusal (code: ErrorCode, message: string, retryAfterMs: number): BriarpickError {
  return new BriarpickError(code, message, { hint: `nothing was executed; retry in ${Math.ceil(retryAfterMs)} ms`, retryAfterMs })
}
