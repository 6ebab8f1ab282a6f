import { type RateLimitTolerance } from '@briarpick/types'
import { reserveOf, type TeamLimit } from './bucketSize.js'

/** Options of the reserve. */
export interface TeamReserveOptions {
  readonly tolerance: RateLimitTolerance
  /** Limit in force of a team; undefined if it has none. */
  readonly limitOf: (team: string) => TeamLimit | undefined
  /** Number of other leaderships that may have lent tokens which are still used in the present window. */
  readonly otherLeaderships: () => number
  /** Monotonic time in ms. */
  readonly now: () => number
}

/**
 * Tokens that the leader lends to homes whose buckets are empty. A small team's operations on one database vary far more than its
 * operations on all of them, so that a few tokens in common replace many in each home.
 */
export interface TeamReserve {
  /** Lends up to `wanted` tokens for operations of a team; returns how many. */
  lend: (team: string, wanted: number) => number
}

interface Loan {
  readonly at: number
  readonly tokens: number
}

/** Time for which a home may use a borrowed token, in ms. */
export const LOAN_VALID_MS = 1000
/** Longest time from the decision of the leader until the home has received the loan, in ms: that after which a renewal is given up. */
const LOAN_DELIVERY_MS = 1000
/** Time in which a loan may be used after it was given, in ms. */
export const LOAN_LIFE_MS = LOAN_VALID_MS + LOAN_DELIVERY_MS

/**
 * Part of the reserve that a leadership may lend, by the number of other leaderships whose loans may still be in use: the parts of those
 * that follow each other sum to 1, and further ones lend nothing.
 */
const PART_BY_OTHERS = [0.6, 0.4]

/** Creates the reserve of one leadership, with nothing lent. */
export function createTeamReserve (opts: TeamReserveOptions): TeamReserve {
  const loansByTeam = new Map<string, Loan[]>()

  return {
    lend (team, wanted) {
      const limit = opts.limitOf(team)
      const part = PART_BY_OTHERS[opts.otherLeaderships()]
      if (limit === undefined || part === undefined) return 0
      const now = opts.now()
      const since = now - opts.tolerance.windowMs - LOAN_LIFE_MS
      const loans = (loansByTeam.get(team) ?? []).filter(({ at }) => at >= since)
      const lent = loans.reduce((sum, { tokens }) => sum + tokens, 0)
      const tokens = Math.max(0, Math.min(Math.ceil(wanted), Math.floor(part * reserveOf(limit, opts.tolerance) - lent)))
      if (tokens > 0) loans.push({ at: now, tokens })
      if (loans.length > 0) loansByTeam.set(team, loans)
      else loansByTeam.delete(team)
      return tokens
    },
  }
}
