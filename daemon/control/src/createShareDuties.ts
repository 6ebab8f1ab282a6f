import { type DatabaseView, type RateLimitTolerance, type RenewRequest } from '@briarpick/types'
import { createTeamShares, type SharesResponse, type TeamShares } from '@briarpick/team-limits'
import { CLOCK_DRIFT_RATIO } from './createLeaseTable.js'

/** Options of the share duties. */
export interface ShareDutiesOptions {
  readonly tolerance: RateLimitTolerance
  readonly views: () => Readonly<Record<string, DatabaseView>>
  /** Databases of the routes in force. */
  readonly databases: () => readonly string[]
  readonly leaseMs: () => number
  /** Time added to the lease duration before the leases of earlier leaders count as expired, in ms. */
  readonly leaseExpiryMarginMs: number
  /**
   * Monotonic time in ms. Unlike the elapsed clock it does not follow a step of the wall clock, after which leases would count as ended
   * that proxies still use.
   */
  readonly now: () => number
}

/** The leader's part in the limits of teams: the shares of the homes, and how often homes have started. */
export interface ShareDuties {
  /** Forgets the shares of an earlier leadership; `term` is that of the new one, undefined if this node does not lead. */
  reset: (term: number | undefined) => void
  /** Records new homes. Called on every node, since a new leader needs the starts before its time. */
  observe: () => void
  /** Handles a renewal; undefined while this node does not lead. */
  renew: (request: RenewRequest) => SharesResponse | undefined
  /** Moved shares by team and database. */
  moved: () => ReadonlyMap<string, ReadonlyMap<string, number>>
}

/** Starts that are remembered for each database: the present one and the one before. */
const MAX_TIMES = 2

interface HomeStarts {
  readonly epoch: number
  /** Times of the latest starts, in ms, oldest first. */
  readonly times: readonly number[]
}

/** Creates the duties of a control node. */
export function createShareDuties (opts: ShareDutiesOptions): ShareDuties {
  const starts = new Map<string, HomeStarts>()
  const grantedAt = new Map<string, number>()
  const createdAt = opts.now()
  let shares: TeamShares | undefined
  let since = 0
  let hasLed = false

  function observeStart ({ database, homeEpoch: epoch }: DatabaseView): void {
    const known = starts.get(database)
    if (known?.epoch === epoch) return
    const times = [...known?.times ?? [], opts.now()].slice(-MAX_TIMES)
    starts.set(database, { epoch, times })
  }

  /** What a new process applies until it leads for the first time are starts of before it was started, mostly. */
  function forgetReplayedStarts (): void {
    if (hasLed) return
    hasLed = true
    if (opts.now() - createdAt > opts.tolerance.windowMs) return
    for (const { database, homeEpoch: epoch } of Object.values(opts.views())) starts.set(database, { epoch, times: [] })
  }

  /** True for the first start within a window that this process knows of; one before this process is allowed for in the buckets. */
  function isFreshStart (database: string): boolean {
    const windowStart = opts.now() - opts.tolerance.windowMs
    const recent = starts.get(database)?.times.filter((at) => at >= windowStart).length ?? 0
    return recent <= 1
  }

  function haveEarlierLeasesExpired (): boolean {
    return opts.now() - since > opts.leaseMs() * (1 + CLOCK_DRIFT_RATIO) + opts.leaseExpiryMarginMs
  }

  function isHeld (database: string): boolean {
    const home = opts.views()[database]?.home ?? null
    if (home === null) return false
    if (!haveEarlierLeasesExpired()) return true
    return opts.now() - (grantedAt.get(home.proxy) ?? -Infinity) <= opts.leaseMs() * (1 + CLOCK_DRIFT_RATIO)
  }

  return {
    reset (term) {
      grantedAt.clear()
      since = opts.now()
      const { now, databases } = opts
      shares = term === undefined
        ? undefined
        : createTeamShares({ now, term, databases, isHeld, haveEarlierLeasesExpired, isFreshStart })
    },
    observe () {
      for (const view of Object.values(opts.views())) observeStart(view)
    },
    renew ({ proxy, homes }) {
      if (shares === undefined) return undefined
      forgetReplayedStarts()
      grantedAt.set(proxy, opts.now())
      const assigned = Object.values(opts.views()).filter((view) => view.home?.proxy === proxy)
      for (const view of assigned) observeStart(view)
      return shares.renew({
        assigned: assigned.map(({ database, homeEpoch }) => ({ database, epoch: homeEpoch })),
        reports: homes,
      })
    },
    moved: () => shares?.moved() ?? new Map(),
  }
}
