import { type StatementFailure, statementFailure, type StatementRequest } from '@briarpick/types'
import { createLogger } from '@briarpick/logs'
import { type TeamLimiter, type TokenShortage } from '@briarpick/team-limits'

/** Charge of one operation to the limit of its team: one token for each time that it may run. */
export interface TeamCharge {
  /**
   * Takes a token unless the operation has one; waits for a token that is expected soon enough. Resolves to the failure if the team is
   * over its limit.
   */
  acquire: () => Promise<StatementFailure | undefined>
  /** Uses the token up: the operation was sent and may have run. */
  use: () => void
  /** Gives an unused token back. */
  close: () => void
}

const NO_CHARGE: TeamCharge = { acquire: async () => undefined, use () {}, close () {} }
/** Longest wait for a token of an operation that cannot be on time otherwise, in ms. */
const LATE_TOKEN_WAIT_MS = 400
/** Longest wait for a token, as a fraction of the operation's deadline. */
const MAX_TOKEN_WAIT_FRACTION = 0.5
const log = createLogger('home')

/** Creates the charge of a statement outside a transaction, or of a transaction with its first statement. */
export function createTeamCharge (limiter: TeamLimiter | undefined, request: StatementRequest): TeamCharge {
  const { id, team, database } = request
  if (limiter === undefined || team === null) return NO_CHARGE
  const waitEndsAt = performance.now() + maxTokenWaitMs(request)
  let hasToken = false
  let hasRun = false

  function refuse (limiter: TeamLimiter, team: string, shortage: TokenShortage): StatementFailure {
    const { expectedInMs, retryAfterMs, limit, share, tokens, version } = shortage
    limiter.refuse(team, shortage)
    log('rateLimited', {
      id,
      database,
      team,
      retryAfterMs,
      expectedInMs: Number.isFinite(expectedInMs) ? Math.ceil(expectedInMs) : undefined,
      ratePerS: limit.ratePerS,
      burst: limit.burst,
      share: Number(share.toFixed(4)),
      tokens: Number(tokens.toFixed(2)),
      shares: version?.join('.'),
    })
    // Only reads are sent again after they may have run; they end as other lost reads do.
    return hasRun ? statementFailure('aborted', 'rate_limited_retry') : statementFailure('busy', 'rate_limited', { retryAfterMs })
  }

  return {
    async acquire () {
      if (hasToken) return undefined
      let shortage = limiter.charge(team)
      while (shortage !== undefined && performance.now() + shortage.expectedInMs <= waitEndsAt) {
        await limiter.waitForToken(team, shortage)
        shortage = limiter.charge(team, { hasWaited: true })
      }
      if (shortage !== undefined) return refuse(limiter, team, shortage)
      hasToken = true
      return undefined
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

/** Longest time that an operation may wait for a token, in ms: while its aim can be met, or a little longer if it is late anyway. */
function maxTokenWaitMs ({ aimMs, ageMs, deadlineMs }: StatementRequest): number {
  return Math.min(deadlineMs * MAX_TOKEN_WAIT_FRACTION, Math.max(aimMs - ageMs, LATE_TOKEN_WAIT_MS))
}
