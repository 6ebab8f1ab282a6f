import { type RateLimitTolerance } from '@briarpick/types'
import { createTeamLimiter, createTeamShares, type TeamLimit, type TeamLimiter, type TeamShares } from '@briarpick/team-limits'

/** Drives the limiters of some homes and the shares of changing leaders through one history, by a clock of its own. */
export interface LimitHistory {
  /** Lets time pass: connected homes renew their leases, and `ask` is called every few milliseconds. */
  run: (ms: number, ask: () => void) => void
  /** Asks for operations of the team on a database until one is refused or `most` are admitted; returns how many were admitted. */
  ask: (database: number, most?: number) => number
  /** Gives the tokens of some operations back that have not been sent; the others count as sent. */
  giveBack: (database: number, operations: number) => void
  /** Sets whether the home of a database reaches control, and whether the responses of control reach it. */
  connect: (database: number, reaches: boolean, hears: boolean) => void
  /** Ends the process of a home; the next one starts once its lease has ended. */
  kill: (database: number) => void
  /** Moves a home in a planned way. */
  move: (database: number) => void
  /** Replaces the leader. */
  elect: () => void
  /** Steps the wall clock of a home's VM forward: its lease ends early. */
  stepClock: (database: number, ms: number) => void
  setLimit: (limit: TeamLimit) => void
  /** Sum of the team's shares over all homes that hold a lease. */
  sharesInUse: () => number
  /** Largest excess over what the rule allows in any window; 0 if the rule is kept. */
  excess: () => number
}

export const TEAM = 'blue'
const LEASE_MS = 1000
const LEASE_ON_LEADER_MS = 1050
const RENEWAL_INTERVAL_MS = 200
const STEP_MS = 10

interface Home {
  epoch: number
  limiter: TeamLimiter | undefined
  validUntil: number
  grantedAt: number
  steppedMs: number
  reaches: boolean
  hears: boolean
}

/** Creates a history in which every home of `databases` has just started. */
export function createLimitHistory (databases: number, first: TeamLimit, tolerance: RateLimitTolerance): LimitHistory {
  const names = Array.from({ length: databases }, (_, i) => `ledger-${i}`)
  const limits = [{ at: 0, limit: first }]
  const admitted: number[] = []
  const pending: number[][] = names.map(() => [])
  const starts: number[][] = names.map(() => [])
  let now = 0
  let term = 0
  let leaderSince = -Infinity
  let leader: TeamShares
  const homes = names.map((_, i): Home => {
    starts[i].push(0)
    return { epoch: 1, limiter: createLimiter(1), validUntil: -Infinity, grantedAt: -Infinity, steppedMs: 0, reaches: true, hears: true }
  })
  elect(-Infinity)

  function createLimiter (epoch: number): TeamLimiter {
    return createTeamLimiter({
      epoch, tolerance, limitOf: () => limits[limits.length - 1].limit, databases: () => databases, onReportChange () {}, now: () => now,
    })
  }

  function isHeld (database: string): boolean {
    return !haveEarlierLeasesExpired() || now - homes[names.indexOf(database)].grantedAt <= LEASE_ON_LEADER_MS
  }

  function haveEarlierLeasesExpired (): boolean {
    return now - leaderSince > LEASE_ON_LEADER_MS
  }

  function elect (since = now): void {
    term += 1
    leaderSince = since
    leader = createTeamShares({
      now: () => now,
      term,
      databases: () => names,
      isHeld,
      haveEarlierLeasesExpired,
      isFreshStart: (database) => starts[names.indexOf(database)].filter((at) => now - at <= tolerance.windowMs).length <= 1,
    })
  }

  function start (index: number): void {
    const home = homes[index]
    pending[index] = []
    starts[index].push(now)
    home.epoch += 1
    home.limiter = createLimiter(home.epoch)
    home.validUntil = -Infinity
  }

  function isActive ({ limiter, validUntil, steppedMs }: Home): boolean {
    return limiter !== undefined && now + steppedMs < validUntil
  }

  function renew (index: number): void {
    const home = homes[index]
    if (home.limiter === undefined || !home.reaches) return
    if (!isActive(home)) home.limiter.dropShares()
    const database = names[index]
    const report = { database, epoch: home.epoch, ...home.limiter.report() }
    home.grantedAt = now
    const { teamShares, unknownShares } = leader.renew({ assigned: [{ database, epoch: home.epoch }], reports: [report] })
    if (!home.hears) return
    home.limiter.confirmReport(report.teamDemand ?? [])
    if (unknownShares.length > 0) home.limiter.sendWhole()
    for (const shares of teamShares) home.limiter.applyShares(shares)
    home.validUntil = now + home.steppedMs + LEASE_MS
  }

  return {
    run (ms, ask) {
      for (const endsAt = now + ms; now < endsAt; now += STEP_MS) {
        homes.forEach((home, i) => {
          if (home.limiter === undefined && !isHeld(names[i])) start(i)
          if (now % RENEWAL_INTERVAL_MS === 0) renew(i)
        })
        ask()
      }
    },
    ask (index, most = Infinity) {
      const home = homes[index]
      let count = 0
      while (count < most && isActive(home) && home.limiter?.charge(TEAM) === undefined) {
        admitted.push(now)
        pending[index].push(now)
        count += 1
      }
      return count
    },
    giveBack (index, operations) {
      for (const at of pending[index].splice(0, operations)) {
        homes[index].limiter?.giveBack(TEAM)
        admitted.splice(admitted.lastIndexOf(at), 1)
      }
      pending[index].splice(0).forEach(() => homes[index].limiter?.settle(TEAM))
    },
    connect (index, reaches, hears) {
      Object.assign(homes[index], { reaches, hears })
    },
    kill (index) {
      homes[index].limiter = undefined
    },
    move (index) {
      if (homes[index].limiter === undefined) return
      start(index)
      renew(index)
    },
    elect: () => elect(),
    stepClock (index, ms) {
      homes[index].steppedMs += ms
    },
    setLimit (limit) {
      limits.push({ at: now, limit })
    },
    sharesInUse: () => homes.reduce((sum, home) => sum + (isActive(home) ? home.limiter?.shareOf(TEAM) ?? 0 : 0), 0),
    excess () {
      const { windowMs, overage, slack } = tolerance
      const allowedFrom = (start: number) => Math.max(...limits
        .filter(({ at }, i) => at <= start + windowMs && (limits[i + 1]?.at ?? Infinity) >= start)
        .map(({ limit: { ratePerS, burst } }) => (ratePerS * windowMs / 1000 + burst) * (1 + overage) + slack))
      let end = 0
      let worst = 0
      admitted.forEach((start, i) => {
        while (end < admitted.length && admitted[end] <= start + windowMs) end += 1
        worst = Math.max(worst, end - i - allowedFrom(start))
      })
      return worst
    },
  }
}
