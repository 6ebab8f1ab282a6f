import { type DatabaseLoans, type DatabaseView, type RateLimitTolerance, type RenewRequest } from '@briarpick/types'
import {
  createHomeEnds,
  createTeamReserve,
  createTeamShares,
  createTermHistory,
  LOAN_LIFE_MS,
  type SharesResponse,
  type TeamLimit,
  type TeamReserve,
  type TeamShares,
} from '@briarpick/team-limits'
import { type Metrics } from '@briarpick/metrics'
import { CLOCK_DRIFT_RATIO } from './createLeaseTable.js'

/** Options of the share duties. */
export interface ShareDutiesOptions {
  readonly tolerance: RateLimitTolerance
  readonly views: () => Readonly<Record<string, DatabaseView>>
  /** Databases of the routes in force. */
  readonly databases: () => readonly string[]
  /** Limit in force of a team; undefined if it has none. */
  readonly limitOf: (team: string) => TeamLimit | undefined
  /** Present term of this node. */
  readonly term: () => number
  readonly leaseMs: () => number
  /** Time added to the lease duration before the leases of earlier leaders count as expired, in ms. */
  readonly leaseExpiryMarginMs: number
  /**
   * Monotonic time in ms. Unlike the elapsed clock it does not follow a step of the wall clock, after which leases would count as ended
   * that proxies still use.
   */
  readonly now: () => number
  /** Counts loans, and requests for which nothing is left. */
  readonly metrics: Pick<Metrics, 'count'>
}

/** What the leader sends to the homes of a proxy in response to a renewal. */
export interface ShareDutiesResponse extends SharesResponse {
  readonly teamLoans: readonly DatabaseLoans[]
}

/** The leader's part in the limits of teams: the shares of the homes, and the tokens that it lends to them. */
export interface ShareDuties {
  /** Forgets the shares of an earlier leadership; `isLeader` tells whether this node leads now. */
  reset: (isLeader: boolean) => void
  /** Records new homes and terms. Called on every node, since a new leader needs those before its time. */
  observe: () => void
  /** Handles a renewal; undefined while this node does not lead. */
  renew: (request: RenewRequest) => ShareDutiesResponse | undefined
  /** Moved shares by team and database. */
  moved: () => ReadonlyMap<string, ReadonlyMap<string, number>>
}

/** Creates the duties of a control node. */
export function createShareDuties (opts: ShareDutiesOptions): ShareDuties {
  const { now, tolerance, limitOf, databases } = opts
  const ends = createHomeEnds(now)
  const terms = createTermHistory(opts.term(), now)
  const grantedAt = new Map<string, number>()
  let shares: TeamShares | undefined
  let reserve: TeamReserve | undefined
  let since = 0

  function observeHome ({ database, homeEpoch: epoch, home }: DatabaseView): void {
    ends.observe({ database, epoch, process: home ?? undefined })
  }

  function haveEarlierLeasesExpired (): boolean {
    return now() - since > opts.leaseMs() * (1 + CLOCK_DRIFT_RATIO) + opts.leaseExpiryMarginMs
  }

  function isHeld (database: string): boolean {
    const home = opts.views()[database]?.home ?? null
    if (home === null) return false
    if (!haveEarlierLeasesExpired()) return true
    return now() - (grantedAt.get(home.proxy) ?? -Infinity) <= opts.leaseMs() * (1 + CLOCK_DRIFT_RATIO)
  }

  function otherLeaderships (): number {
    return terms.earlierTermsWithin(tolerance.windowMs + LOAN_LIFE_MS)
  }

  /** Lends tokens to the present homes of a proxy. */
  function lend (assigned: readonly DatabaseView[], { homes }: RenewRequest): readonly DatabaseLoans[] {
    return homes.flatMap(({ database, epoch, teamLoans = [] }) => {
      if (!assigned.some((view) => view.database === database && view.homeEpoch === epoch)) return []
      const answers = teamLoans.map(({ team, tokens }) => ({ team, tokens: reserve?.lend(team, tokens) ?? 0 }))
      const loans = answers.filter(({ tokens }) => tokens > 0)
      for (const { tokens } of answers) opts.metrics.count('events', tokens > 0 ? 'tokens_lent' : 'loan_refused')
      return loans.length === 0 ? [] : [{ database, epoch, loans }]
    })
  }

  return {
    reset (isLeader) {
      grantedAt.clear()
      since = now()
      ends.startLeadership()
      terms.observe(opts.term())
      const { unusedSince } = ends
      const term = opts.term()
      shares = isLeader ? createTeamShares({ now, term, databases, isHeld, haveEarlierLeasesExpired, unusedSince }) : undefined
      reserve = isLeader ? createTeamReserve({ tolerance, limitOf, otherLeaderships, now }) : undefined
    },
    observe () {
      terms.observe(opts.term())
      for (const view of Object.values(opts.views())) observeHome(view)
    },
    renew (request) {
      if (shares === undefined) return undefined
      const { proxy, linkAddress, homes, listeningMs } = request
      grantedAt.set(proxy, now())
      if (listeningMs !== undefined) ends.recordProcess({ proxy, address: linkAddress }, now() - listeningMs)
      const assigned = Object.values(opts.views()).filter(({ home }) => home?.proxy === proxy)
      for (const view of assigned) observeHome(view)
      const response = shares.renew({
        assigned: assigned.map(({ database, homeEpoch }) => ({ database, epoch: homeEpoch })),
        reports: homes,
      })
      return { ...response, teamLoans: lend(assigned, request) }
    },
    moved: () => shares?.moved() ?? new Map(),
  }
}
