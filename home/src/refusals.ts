import { BriarpickError, type ErrorCode } from '@briarpick/error'

/** Time after which a lost primary is usually replaced, in ms. */
export const FAILOVER_RETRY_MS = 1500

const SHORT_RETRY_MS = 100

/** The refusal of a request that came to a proxy that is not, or no longer, the home. */
export function notHome (database: string): BriarpickError {
  return refusal('ERR_BRIARPICK_NO_HOME', `this proxy is not the home of ${database}`, SHORT_RETRY_MS)
}

/** The refusal while no primary takes writes. */
export function noPrimary (database: string): BriarpickError {
  return refusal('ERR_BRIARPICK_NO_PRIMARY', `${database} has no primary that takes writes now`, FAILOVER_RETRY_MS)
}

/** The refusal of a write that could not be made durable. */
export function notDurable (database: string): BriarpickError {
  return refusal('ERR_BRIARPICK_NOT_DURABLE', `too few replicas of ${database} are there to hold a write`, FAILOVER_RETRY_MS)
}

/** The refusal of a request that would wait longer than its deadline allows. */
export function overloaded (database: string, expectedMs: number): BriarpickError {
  return refusal('ERR_BRIARPICK_OVERLOADED', `${database} has more requests than it can serve in time`, Math.max(SHORT_RETRY_MS, expectedMs))
}

/** The refusal of a read that no target could serve in time. */
export function noTarget (database: string): BriarpickError {
  return refusal('ERR_BRIARPICK_TOO_STALE', `no target of ${database} has what the read must see`, FAILOVER_RETRY_MS)
}

/** The refusal while a home hands over. */
export function draining (database: string): BriarpickError {
  return refusal('ERR_BRIARPICK_DRAINING', `the home of ${database} is handing over`, SHORT_RETRY_MS)
}

/** The answer when a write was sent and no proof of its outcome came. */
export function outcomeUnknown (database: string, reason: string): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_OUTCOME_UNKNOWN', `the write was sent to ${database} and its outcome is not known: ${reason}`, {
    hint: 'look the change up before sending it again, or send writes with briarpick_key',
  })
}

/** The answer when a read was sent and its deadline passed. */
export function deadlinePassed (database: string): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_DEADLINE', `a target of ${database} did not answer the read before its deadline`, {
    hint: 'send it again, or with a longer briarpick_deadline',
    retryAfterMs: SHORT_RETRY_MS,
  })
}

/** The answer when an open transaction lost its connection: it is rolled back. */
export function transactionLost (database: string): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_TRANSACTION_LOST', `the open transaction on ${database} was lost and is rolled back`, {
    hint: 'run the whole transaction again',
    retryAfterMs: SHORT_RETRY_MS,
  })
}

/** The refusal of a key that stands for another request already. */
export function keyReused (key: string): BriarpickError {
  return new BriarpickError('ERR_BRIARPICK_KEY_REUSED', `key ${key} was used for another request`, {
    hint: 'give each request its own key, and resend a request with the key that it had',
  })
}

function refusal (code: ErrorCode, message: string, retryAfterMs: number): BriarpickError {
  return new BriarpickError(code, message, { hint: `nothing ran; try again in ${Math.ceil(retryAfterMs)} ms`, retryAfterMs })
}
