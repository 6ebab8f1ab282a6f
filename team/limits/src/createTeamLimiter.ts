import { type DatabaseShares, type HomeReport, type RateLimitTolerance, type TeamLoan } from '@briarpick/types'
import { type BucketSize, bucketSizeOf, type TeamLimit } from './bucketSize.js'
import { MAX_REFUSAL_MS } from './createRefusalMemory.js'
import { type BorrowedTokens, createBorrowedTokens } from './createBorrowedTokens.js'
import { createDemandReports, type ShareInUse } from './createDemandReports.js'
import { type TeamUse } from './createTeamUse.js'
import { createTokenWaits } from './createTokenWaits.js'
import { addTokens, createTokenBucket, fillBucket, returnToken, settleToken, takeToken, type TokenBucket } from './tokenBucket.js'

/** Options of a team limiter. */
export interface TeamLimiterOptions {
  /** Epoch of the home; shares for other epochs are ignored. */
  readonly epoch: number
  readonly tolerance: RateLimitTolerance
  /** Limit in force of a team; undefined if it has none. Read again on each use. */
  readonly limitOf: (team: string) => TeamLimit | undefined
  /** Number of databases in force. */
  readonly databases: () => number
  /** Counts what is admitted and refused. */
  readonly use?: TeamUse
  /** Called when a team runs short of its share, and when new shares are in use: control should hear of it soon. */
  readonly onReportChange: () => void
  /**
   * Time in ms that neither stops while the process is frozen nor follows steps of the wall clock. A clock that also stops is safe,
   * since it fills the buckets less.
   */
  readonly now: () => number
}

/** Why an operation gets no token now: what the operator needs to find the limit. */
export interface TokenShortage {
  /** Time in which a token is expected, by filling, by a loan, or since control tells a new home its shares, in ms. */
  readonly expectedInMs: number
  /** Time until a token is free behind those refused before, in ms. */
  readonly retryAfterMs: number
  readonly limit: TeamLimit
  readonly share: number
  readonly tokens: number
  /** Version of the shares; undefined while the home does not know them. */
  readonly version: DatabaseShares['version'] | undefined
}

/** What a limiter tells control with a renewal. */
export type LimiterReport = Pick<HomeReport, 'teamShares' | 'teamDemand' | 'teamLoans'>

/** Limits the operations of teams in the home of one database. */
export interface TeamLimiter {
  /**
   * Takes a token for an operation; undefined if it is admitted. An admitted one is settled or returned later. An operation that has
   * waited goes ahead of new ones.
   */
  charge: (team: string, opts?: { readonly hasWaited: boolean }) => TokenShortage | undefined
  /** Waits until a token may be there, at most until the expected time. */
  waitForToken: (team: string, shortage: TokenShortage) => Promise<void>
  /** Records that an operation without a token was refused. */
  refuse: (team: string, shortage: TokenShortage) => void
  /** Records that an admitted operation was sent to a target. */
  settle: (team: string) => void
  /** Gives the token of an admitted operation back that was not sent. */
  giveBack: (team: string) => void
  /** Uses newer shares; ignores others. */
  applyShares: (shares: DatabaseShares) => void
  /** Falls back to the floor until shares are sent again: after the end of its lease, a home's shares may be used by others. */
  dropShares: () => void
  /** Sends the shares whole with the next report. */
  sendWhole: () => void
  /** Shares in use, changed demands, and teams for which tokens are to be borrowed, for the next renewal. */
  report: () => LimiterReport
  /** Records that control has received a report, and uses the loans with which it responded. */
  confirmReport: (report: LimiterReport, loans: readonly TeamLoan[]) => void
  /** Share of a team's limit that this home uses. */
  shareOf: (team: string) => number
  /** Number of buckets. */
  size: () => number
  /** Ends all waits; no token is expected any more. */
  close: () => void
}

/** State of a team in a home. */
interface TeamState {
  limit: TeamLimit
  size: BucketSize
  share: number
  databases: number
  readonly bucket: TokenBucket
  readonly borrowed: BorrowedTokens
  /** Time since when the share is in use, in ms. */
  shareSince: number
  /** Time that the last refusal named, in ms. */
  lastRetryAt: number
}

/** Shortest time between two requests for an early report, in ms. */
const REPORT_INTERVAL_MS = 50
/** Buckets checked with each report for whether they can be forgotten. */
const CHECKED_BUCKETS = 64
/** Time in which control tells a new home its shares, in ms; all homes of a restarted system start within it. */
const START_MS = 400

/** Creates the limiter of a home that has just started: it has only the floor until it knows its shares. */
export function createTeamLimiter (opts: TeamLimiterOptions): TeamLimiter {
  const teams = new Map<string, TeamState>()
  const demands = createDemandReports()
  let shares: DatabaseShares | undefined
  let shareByTeam: ReadonlyMap<string, number> = new Map()
  /** Time since when buckets that do not exist yet have been filling with the base share, in ms. */
  let baseSince = opts.now()
  const createdAt = opts.now()
  /** Time before the first shares for which nobody used them, in ms; undefined until then. */
  let idleMs: number | undefined
  const waits = createTokenWaits()
  /** Teams for which tokens are to be borrowed with the next report. */
  const borrowers = new Set<string>()
  let mustSendWhole = false
  let isClosed = false
  let reportRequestedAt = -Infinity
  let reportTimer: NodeJS.Timeout | undefined
  let checked: Iterator<string> = teams.keys()

  function shareOf (team: string): number {
    return shares === undefined ? 0 : shareByTeam.get(team) ?? shares.base
  }

  function sizeOf (limit: TeamLimit, share: number, databases: number): BucketSize {
    return bucketSizeOf(limit, { share, databases, tolerance: opts.tolerance })
  }

  /** The state of a team, with its bucket filled until now at the present size. */
  function stateOf (team: string, limit: TeamLimit, now: number): TeamState {
    const state = teams.get(team) ?? createState(team, limit, now)
    const share = shareOf(team)
    const databases = opts.databases()
    const { limit: known } = state
    if (state.share !== share || state.databases !== databases || known.ratePerS !== limit.ratePerS || known.burst !== limit.burst) {
      if (state.share !== share) state.shareSince = now
      Object.assign(state, { limit, share, databases, size: sizeOf(limit, share, databases) })
    }
    fillBucket(state.bucket, state.size, now)
    return state
  }

  /** A team without a bucket has used nothing since the start, or its bucket was full when it was removed. */
  function createState (team: string, limit: TeamLimit, now: number): TeamState {
    const share = shareOf(team)
    const databases = opts.databases()
    const size = sizeOf(limit, share, databases)
    const bucket = createTokenBucket(size, idleTokens(limit, share), baseSince)
    const state = {
      limit,
      size,
      share,
      databases,
      bucket,
      borrowed: createBorrowedTokens(),
      shareSince: now,
      lastRetryAt: -Infinity,
    }
    teams.set(team, state)
    return state
  }

  /** Tokens for the time before the first shares, in which no home used them. */
  function idleTokens ({ ratePerS }: TeamLimit, share: number): number {
    return share * ratePerS / 1000 * (idleMs ?? 0)
  }

  /** True until control has told this home its shares; what earlier leaders gave to others is not known before. */
  function isWaitingForShares (): boolean {
    return shares === undefined || shares.base === 0
  }

  /** Time until a token is free behind those that were promised to earlier refusals; starts over at the longest refusal. */
  function nextRetryMs ({ bucket, size, lastRetryAt }: TeamState, now: number): number {
    if (size.fillPerMs === 0) return MAX_REFUSAL_MS
    const stepMs = 1 / size.fillPerMs
    const firstAt = now + (1 - bucket.tokens) * stepMs
    const nextAt = Math.max(firstAt, lastRetryAt + stepMs)
    return Math.min(MAX_REFUSAL_MS, (nextAt - now > MAX_REFUSAL_MS ? firstAt : nextAt) - now)
  }

  function shortageOf (team: string, state: TeamState, now: number): TokenShortage {
    const retryAfterMs = Math.ceil(nextRetryMs(state, now))
    const { limit, share, bucket: { tokens } } = state
    const expectedInMs = isClosed ? Infinity : startInMs(now) ?? Math.min(retryAfterMs, borrow(team, state, now))
    return { expectedInMs, retryAfterMs, limit, share, tokens, version: shares?.version }
  }

  /** Time in which control tells this home its first shares; undefined if it has, or is late. */
  function startInMs (now: number): number | undefined {
    const leftMs = START_MS - (now - createdAt)
    return isWaitingForShares() && leftMs > 0 ? leftMs : undefined
  }

  /** Asks control for a token; returns the time in which it is expected. */
  function borrow (team: string, { borrowed }: TeamState, now: number): number {
    const loanInMs = borrowed.request(now)
    if (loanInMs === undefined) return Infinity
    borrowers.add(team)
    requestReport(now)
    return loanInMs
  }

  /** Requests an early report, at once or as soon as the interval between two of them allows. */
  function requestReport (now: number): void {
    if (reportTimer !== undefined) return
    const waitMs = Math.max(0, reportRequestedAt + REPORT_INTERVAL_MS - now)
    reportRequestedAt = now + waitMs
    if (waitMs === 0) {
      opts.onReportChange()
      return
    }
    reportTimer = setTimeout(() => {
      reportTimer = undefined
      opts.onReportChange()
    }, waitMs).unref()
  }

  function shareInUse (team: string): ShareInUse | undefined {
    const state = teams.get(team)
    return state && { ratePerS: state.limit.ratePerS, fillPerMs: state.size.fillPerMs, shareSince: state.shareSince }
  }

  /** Removes buckets that are full again, so that removing them grants nothing. */
  function forgetIdleTeams (now: number): void {
    for (let i = 0; i < Math.min(CHECKED_BUCKETS, teams.size); i += 1) {
      const { value: team, done } = checked.next()
      if (done === true || team === undefined) {
        checked = teams.keys()
        return
      }
      if (shareByTeam.has(team) || demands.isShort(team)) continue
      const limit = opts.limitOf(team)
      const state = teams.get(team)
      if (state === undefined) continue
      if (limit !== undefined) stateOf(team, limit, now)
      const { bucket, size } = state
      const isFull = limit === undefined || bucket.tokens >= size.capacity
      if (!isFull || bucket.outstanding > 0 || waits.isWaiting(team)) continue
      teams.delete(team)
      demands.forget(team)
    }
  }

  return {
    charge (team, { hasWaited } = { hasWaited: false }) {
      const limit = opts.limitOf(team)
      if (limit === undefined) return undefined
      const now = opts.now()
      const state = stateOf(team, limit, now)
      if (!hasWaited) demands.count(team, now)
      const mayGo = hasWaited || !waits.isWaiting(team)
      if (!mayGo || !(takeToken(state.bucket) || state.borrowed.take(state.bucket, now))) return shortageOf(team, state, now)
      opts.use?.admit(team)
      return undefined
    },
    async waitForToken (team, { expectedInMs, retryAfterMs }) {
      const state = teams.get(team)
      if (state !== undefined && expectedInMs === retryAfterMs) state.lastRetryAt = opts.now() + retryAfterMs
      await waits.wait(team, expectedInMs)
    },
    refuse (team, { retryAfterMs }) {
      opts.use?.refuse(team)
      const state = teams.get(team)
      if (state === undefined) return
      const now = opts.now()
      state.lastRetryAt = now + retryAfterMs
      if (demands.refuse(team, now) && state.share < 1) requestReport(now)
    },
    settle (team) {
      const state = teams.get(team)
      if (state !== undefined) settleToken(state.bucket)
    },
    giveBack (team) {
      const state = teams.get(team)
      const limit = opts.limitOf(team)
      if (state === undefined) return
      if (limit !== undefined) stateOf(team, limit, opts.now())
      returnToken(state.bucket, state.size)
    },
    applyShares (next) {
      if (next.epoch !== opts.epoch || (shares !== undefined && !isLater(next.version, shares.version))) return
      useShares(next)
      if (idleMs === undefined && next.base > 0) startFilled(next.idleMs ?? 0)
      opts.onReportChange()
      waits.wakeAll()
    },
    dropShares () {
      if (shares === undefined) return
      idleMs = 0
      useShares(undefined)
    },
    sendWhole () {
      mustSendWhole = true
      demands.repeatAll()
    },
    report () {
      const now = opts.now()
      forgetIdleTeams(now)
      const teamDemand = demands.changed(shareByTeam.keys(), shareInUse, now)
      const teamLoans = takeWantedLoans()
      const changes = { ...teamDemand.length === 0 ? {} : { teamDemand }, ...teamLoans.length === 0 ? {} : { teamLoans } }
      if (shares === undefined) return changes
      const { version, base, shares: list } = shares
      return { teamShares: mustSendWhole ? { version, base, shares: list } : { version }, ...changes }
    },
    confirmReport ({ teamDemand = [], teamLoans = [] }, loans) {
      mustSendWhole = false
      const now = opts.now()
      demands.confirm(teamDemand, now)
      for (const { team } of teamLoans) {
        const tokens = loans.find((loan) => loan.team === team)?.tokens ?? 0
        teams.get(team)?.borrowed.receive(tokens, now)
        waits.wake(team)
      }
    },
    shareOf,
    size: () => teams.size,
    close () {
      isClosed = true
      clearTimeout(reportTimer)
      waits.wakeAll()
    },
  }

  function useShares (next: DatabaseShares | undefined): void {
    const now = opts.now()
    const listed = next?.shares ?? []
    const touched = new Set([...shareByTeam.keys(), ...listed.map(({ team }) => team)])
    const hasNewBase = next?.base !== shares?.base
    // Buckets are filled at their present size first, since the new one holds from now on only.
    for (const team of hasNewBase ? new Set([...touched, ...teams.keys()]) : touched) touch(team, now)
    if (hasNewBase) {
      baseSince = now
      if (idleMs !== undefined) idleMs = 0
    }
    shares = next
    shareByTeam = new Map(listed.map(({ team, share }) => [team, share]))
    for (const team of hasNewBase ? teams.keys() : touched) touch(team, now)
  }

  /** Fills the buckets for the time before the first shares; those of teams that come later start filled as well. */
  function startFilled (ms: number): void {
    idleMs = ms
    for (const { bucket, size, limit, share } of teams.values()) addTokens(bucket, size, idleTokens(limit, share))
  }

  /** Tokens to borrow: one for each operation that waits. */
  function takeWantedLoans (): readonly TeamLoan[] {
    const wanted = [...borrowers].map((team) => ({ team, tokens: Math.max(1, waits.count(team)) }))
    borrowers.clear()
    return wanted
  }

  /** Fills the bucket of a team; creates it if its share is moved. */
  function touch (team: string, now: number): void {
    const limit = opts.limitOf(team)
    if (limit !== undefined) stateOf(team, limit, now)
  }
}

/** True if a version of shares is later than another: that of a later leader, or a later one of the same leader. */
function isLater ([term, number]: DatabaseShares['version'], [otherTerm, otherNumber]: DatabaseShares['version']): boolean {
  return term > otherTerm || (term === otherTerm && number > otherNumber)
}
