import { type StatementFailure, statementFailure, type StatementRequest } from '@briarpick/types'
import { createLogger } from '@briarpick/logs'
import { type TeamLimiter } from '@briarpick/team-limits'

/** Charge of one operation to the limit of its team: one token for each time that it may run. */
export interface TeamCharge {
  /** Takes a token unless the operation has one; returns the failure if the team is over its limit. */
  acquire: () => StatementFailure | undefined
  /** Uses the token up: the operation was sent and may have run. */
  use: () => void
  /** Gives an unused token back. */
  close: () => void
}

const NO_CHARGE: TeamCharge = { acquire: () => undefined, use () {}, close () {} }
const log = createLogger('home')

/** Creates the charge of a statement outside a transaction, or of a transaction with its first statement. */
export function createTeamCharge (limiter: TeamLimiter | undefined, { id, team, database }: StatementRequest): TeamCharge {
  if (limiter === undefined || team === null) return NO_CHARGE
  let hasToken = false
  let hasRun = false
  return {
    acquire () {
      if (hasToken) return undefined
      const refusal = limiter.charge(team)
      if (refusal === undefined) {
        hasToken = true
        return undefined
      }
      const { retryAfterMs, limit, share, tokens, version } = refusal
      log('rateLimited', {
        id,
        database,
        team,
        retryAfterMs,
        ratePerS: limit.ratePerS,
        burst: limit.burst,
        share: Number(share.toFixed(4)),
        tokens: Number(tokens.toFixed(2)),
        shares: version?.join('.'),
      })
      // Only reads are sent again after they may have run; they end as other lost reads do.
      return hasRun ? statementFailure('aborted', 'rate_limited_retry') : statementFailure('busy', 'rate_limited', { retryAfterMs })
    },
    use () {
      if (!hasToken) return
      hasToken = false
      hasRun = true
      limiter.settle(team)
    },
    close () {
      if (!hasToken) return
      hasToken = false
      limiter.giveBack(team)
    },
  }
}
