import { type RateLimitTolerance } from '@briarpick/types'
import {
  createHomeEnds,
  createTeamLimiter,
  createTeamReserve,
  createTeamShares,
  createTermHistory,
  LOAN_LIFE_MS,
  type TeamLimit,
  type TeamLimiter,
  type TeamReserve,
  type TeamShares,
} from '@briarpick/team-limits'

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
  /** Ends all processes; later ones listen after `downMs`, and `idleMs` later their homes start in turn. Once in a window at most. */
  restartAll: (downMs: number, idleMs: number) => void
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
/** Time from one home of a restarted system to the next one, in ms. */
const HOME_START_INTERVAL_MS = 30

interface Home {
  /** Number of the process that has the home's address. */
  process: number
  epoch: number
  /** Time from which a home may start on a later process, after a restart of all. */
  startsAt: number
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
  let now = 0
  let term = 0
  let leaderSince = -Infinity
  let leader: TeamShares
  let reserve: TeamReserve
  let ends = createHomeEnds(() => now)
  let terms = createTermHistory(term, () => now)
  let restartedAt = -Infinity
  const homes = names.map((): Home => ({
    process: 1,
    epoch: 1,
    startsAt: 0,
    limiter: createLimiter(1),
    validUntil: -Infinity,
    grantedAt: -Infinity,
    steppedMs: 0,
    reaches: true,
    hears: true,
  }))
  observeHomes()
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

  function processOf (index: number) {
    return { proxy: `${names[index]}#${homes[index].process}`, address: { host: names[index], port: 1 } }
  }

  function observeHomes (): void {
    homes.forEach(({ epoch }, i) => ends.observe({ database: names[i], epoch, process: processOf(i) }))
  }

  /** Starts a later process at the address of a home, which listens from the given time on. */
  function startProcess (index: number, listeningSince: number): void {
    homes[index].process += 1
    ends.recordProcess(processOf(index), listeningSince)
  }

  function elect (since = now): void {
    term += 1
    terms.observe(term)
    leaderSince = since
    ends.startLeadership()
    leader = createTeamShares({
      now: () => now,
      term,
      databases: () => names,
      isHeld,
      haveEarlierLeasesExpired,
      unusedSince: ends.unusedSince,
    })
    reserve = createTeamReserve({
      tolerance,
      limitOf: () => limits[limits.length - 1].limit,
      otherLeaderships: () => terms.earlierTermsWithin(tolerance.windowMs + LOAN_LIFE_MS),
      now: () => now,
    })
  }

  function start (index: number): void {
    const home = homes[index]
    pending[index] = []
    home.startsAt = 0
    home.epoch += 1
    home.limiter = createLimiter(home.epoch)
    home.validUntil = -Infinity
    ends.observe({ database: names[index], epoch: home.epoch, process: processOf(index) })
    renew(index)
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
    const { teamShares, unknownShares, changed } = leader.renew({ assigned: [{ database, epoch: home.epoch }], reports: [report] })
    const loans = (report.teamLoans ?? []).map(({ team, tokens }) => ({ team, tokens: reserve.lend(team, tokens) }))
    if (!home.hears) return
    home.limiter.confirmReport(report, loans.filter(({ tokens }) => tokens > 0))
    if (unknownShares.length > 0) home.limiter.sendWhole()
    for (const shares of teamShares) home.limiter.applyShares(shares)
    home.validUntil = now + home.steppedMs + LEASE_MS
    for (const other of changed) if (other !== database) renew(names.indexOf(other))
  }

  /** Asks for a token; an operation without one waits for a loan, then it is refused. */
  function admits (index: number, limiter: TeamLimiter): boolean {
    if (limiter.charge(TEAM) === undefined) return true
    renew(index)
    const shortage = limiter.charge(TEAM, { hasWaited: true })
    if (shortage !== undefined) limiter.refuse(TEAM, shortage)
    return shortage === undefined
  }

  return {
    run (ms, ask) {
      for (const endsAt = now + ms; now < endsAt; now += STEP_MS) {
        homes.forEach((home, i) => {
          if (home.limiter === undefined && now >= home.startsAt && (home.startsAt > 0 || !isHeld(names[i]))) start(i)
          if (now % RENEWAL_INTERVAL_MS === 0) renew(i)
        })
        ask()
      }
    },
    ask (index, most = Infinity) {
      const home = homes[index]
      let count = 0
      while (count < most && isActive(home) && home.limiter !== undefined && admits(index, home.limiter)) {
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
      startProcess(index, now)
    },
    move (index) {
      if (homes[index].limiter === undefined) return
      start(index)
    },
    elect: () => elect(),
    restartAll (downMs, idleMs) {
      if (now - restartedAt < tolerance.windowMs + LOAN_LIFE_MS) return
      restartedAt = now
      homes.forEach((home, i) => {
        home.limiter = undefined
        home.startsAt = now + downMs + idleMs + (i + 1) * HOME_START_INTERVAL_MS
      })
      // The earlier homes are known from the log.
      ends = createHomeEnds(() => now)
      observeHomes()
      terms = createTermHistory(term, () => now)
      elect()
      homes.forEach((_, i) => startProcess(i, now + downMs))
    },
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
