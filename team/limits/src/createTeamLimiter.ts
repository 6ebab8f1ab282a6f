import { type DatabaseShares, type HomeReport, type RateLimitTolerance, type TeamDemand } from '@briarpick/types'
import { type BucketSize, bucketSizeOf, type TeamLimit } from './bucketSize.js'
import { MAX_REFUSAL_MS } from './createRefusalMemory.js'
import { type TeamUse } from './createTeamUse.js'
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

/** Why an operation was refused: what the operator needs to find the limit. */
export interface LimitRefusal {
  /** Time until a token is free behind those refused before, in ms. */
  readonly retryAfterMs: number
  readonly limit: TeamLimit
  readonly share: number
  readonly tokens: number
  /** Version of the shares; undefined while the home does not know them. */
  readonly version: DatabaseShares['version'] | undefined
}

/** Limits the operations of teams in the home of one database. */
export interface TeamLimiter {
  /** Takes a token for an operation; undefined if it is admitted. An admitted one is settled or returned later. */
  charge: (team: string) => LimitRefusal | undefined
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
  /** Shares in use and changed demands, for the next renewal. */
  report: () => Pick<HomeReport, 'teamShares' | 'teamDemand'>
  /** Records that control has received the demands of a report. */
  confirmReport: (demands: readonly TeamDemand[]) => void
  /** Share of a team's limit that this home uses. */
  shareOf: (team: string) => number
  /** Number of buckets. */
  size: () => number
}

/** State of a team in a home. */
interface TeamState {
  limit: TeamLimit
  size: BucketSize
  share: number
  databases: number
  readonly bucket: TokenBucket
  /** Moving average of the operations asked for, per ms, at `demandAt`; low at first, see `demandOf`. */
  demandPerMs: number
  demandAt: number
  readonly createdAt: number
  /** Time since when the share is in use, in ms. */
  shareSince: number
  /** Time of the last refusal, in ms, and number of refusals with less than `SHORT_MS` between them. */
  refusedAt: number
  refusals: number
  /** Time that the last refusal named, in ms. */
  lastRetryAt: number
  /** Demand that control knows; undefined if none. */
  reported: number | undefined
  reportedAt: number
}

/** Time constant of the moving average of the demand, in ms. */
const DEMAND_TIME_MS = 3000
/** Shortest time from which the demand of a new team is extrapolated, in ms. */
const MIN_DEMAND_AGE_MS = 1000
/** Refusals within `SHORT_MS` from which a team is short of its share; fewer are the usual variation. */
const SHORT_REFUSALS = 3
/** Time after a refusal for which a team counts as short of its share, in ms. */
const SHORT_MS = 1000
/** Demand of a team that is short, at least this multiple of what its bucket fills: refused callers are not all seen here. */
const SHORT_FACTOR = 2
/** Relative change of the demand that is worth a report. */
const REPORTED_CHANGE = 0.25
/** Change of the demand that is worth a report, in standard deviations of its estimate. */
const REPORTED_DEVIATIONS = 2
/** Shortest time between two requests for an early report, in ms. */
const REPORT_INTERVAL_MS = 50
/** Age from which a smaller relative change of a reported demand is worth a report, in ms. */
const REPORT_AGE_MS = 1000
const AGED_REPORT_CHANGE = 0.05
/** Precision of the demands that are sent. */
const DEMAND_STEPS = 10_000
/** Buckets checked with each report for whether they can be forgotten. */
const CHECKED_BUCKETS = 64

/** Creates the limiter of a home that has just started: it has only the floor until it knows its shares. */
export function createTeamLimiter (opts: TeamLimiterOptions): TeamLimiter {
  const teams = new Map<string, TeamState>()
  /** Teams that were refused lately. */
  const short = new Set<string>()
  let shares: DatabaseShares | undefined
  let shareByTeam: ReadonlyMap<string, number> = new Map()
  /** Time since when buckets that do not exist yet have been filling with the base share, in ms. */
  let baseSince = opts.now()
  /** True if buckets start with the initial tokens. */
  let isFresh = false
  let hasStarted = false
  let mustSendWhole = false
  let reportRequestedAt = -Infinity
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
    const bucket = createTokenBucket(size, isFresh ? size.initial : 0, baseSince)
    const state = {
      limit,
      size,
      share,
      databases,
      bucket,
      demandPerMs: 0,
      demandAt: now,
      createdAt: now,
      shareSince: now,
      refusedAt: -Infinity,
      refusals: 0,
      lastRetryAt: -Infinity,
      reported: undefined,
      reportedAt: -Infinity,
    }
    teams.set(team, state)
    return state
  }

  function decayDemand (state: TeamState, now: number): void {
    state.demandPerMs *= Math.exp(-Math.max(0, now - state.demandAt) / DEMAND_TIME_MS)
    state.demandAt = Math.max(state.demandAt, now)
  }

  /** Time until a token is free behind those that were promised to earlier refusals; starts over at the longest refusal. */
  function nextRetryMs ({ bucket, size, lastRetryAt }: TeamState, now: number): number {
    if (size.fillPerMs === 0) return MAX_REFUSAL_MS
    const stepMs = 1 / size.fillPerMs
    const firstAt = now + (1 - bucket.tokens) * stepMs
    const nextAt = Math.max(firstAt, lastRetryAt + stepMs)
    return Math.min(MAX_REFUSAL_MS, (nextAt - now > MAX_REFUSAL_MS ? firstAt : nextAt) - now)
  }

  function refuse (team: string, state: TeamState, now: number): LimitRefusal {
    const retryAfterMs = Math.ceil(nextRetryMs(state, now))
    state.lastRetryAt = now + retryAfterMs
    state.refusals = now - state.refusedAt <= SHORT_MS ? state.refusals + 1 : 1
    state.refusedAt = now
    opts.use?.refuse(team)
    if (state.refusals >= SHORT_REFUSALS && !short.has(team)) {
      short.add(team)
      if (state.share < 1) requestReport(now)
    }
    const { limit, share, bucket: { tokens } } = state
    return { retryAfterMs, limit, share, tokens, version: shares?.version }
  }

  function requestReport (now: number): void {
    if (now - reportRequestedAt < REPORT_INTERVAL_MS) return
    reportRequestedAt = now
    opts.onReportChange()
  }

  /** Operations asked for per ms, corrected for the time before the team was known. */
  function demandOf (state: TeamState, now: number): number {
    decayDemand(state, now)
    const ageMs = Math.max(MIN_DEMAND_AGE_MS, now - state.createdAt)
    return state.demandPerMs / -Math.expm1(-ageMs / DEMAND_TIME_MS)
  }

  /** Demand as a fraction of the limit. */
  function wantedBy (state: TeamState, isShort: boolean, now: number): number {
    const { limit, size, refusedAt, shareSince } = state
    if (limit.ratePerS === 0) return 0
    const isStillShort = isShort && refusedAt > shareSince
    const perMs = Math.max(demandOf(state, now), isStillShort ? SHORT_FACTOR * size.fillPerMs : 0)
    return Math.round(perMs * 1000 / limit.ratePerS * DEMAND_STEPS) / DEMAND_STEPS
  }

  function isWorthReport ({ reported, reportedAt, limit }: TeamState, wanted: number, isShort: boolean, now: number): boolean {
    if (reported === undefined) return true
    const change = Math.abs(wanted - reported)
    const larger = Math.max(wanted, reported)
    if (now - reportedAt > REPORT_AGE_MS) return change > AGED_REPORT_CHANGE * larger
    if (change <= REPORTED_CHANGE * larger) return false
    const perMs = limit.ratePerS / 1000
    return change * perMs > REPORTED_DEVIATIONS * deviationOf(larger * perMs) || (isShort && wanted > reported)
  }

  /** Changed demands of the teams whose shares are moved, and demands of those whose share does not suffice; others cost nothing. */
  function changedDemands (now: number): readonly TeamDemand[] {
    const changed: TeamDemand[] = []
    for (const team of new Set([...shareByTeam.keys(), ...short])) {
      const state = teams.get(team)
      if (state === undefined || now - state.refusedAt > SHORT_MS) short.delete(team)
      if (state === undefined) continue
      const isShort = short.has(team)
      const wanted = wantedBy(state, isShort, now)
      if (!shareByTeam.has(team) ? isShort : isWorthReport(state, wanted, isShort, now)) changed.push({ team, wanted })
    }
    return changed
  }

  /** Removes buckets that are full again, so that removing them grants nothing. */
  function forgetIdleTeams (now: number): void {
    for (let i = 0; i < Math.min(CHECKED_BUCKETS, teams.size); i += 1) {
      const { value: team, done } = checked.next()
      if (done === true || team === undefined) {
        checked = teams.keys()
        return
      }
      if (shareByTeam.has(team) || short.has(team)) continue
      const limit = opts.limitOf(team)
      const state = teams.get(team)
      if (state === undefined) continue
      if (limit !== undefined) stateOf(team, limit, now)
      const { bucket, size } = state
      if (bucket.outstanding === 0 && (limit === undefined || bucket.tokens >= size.capacity)) teams.delete(team)
    }
  }

  return {
    charge (team) {
      const limit = opts.limitOf(team)
      if (limit === undefined) return undefined
      const now = opts.now()
      const state = stateOf(team, limit, now)
      decayDemand(state, now)
      state.demandPerMs += 1 / DEMAND_TIME_MS
      if (!takeToken(state.bucket)) return refuse(team, state, now)
      opts.use?.admit(team)
      return undefined
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
      if (!hasStarted && next.isFresh) grantInitialTokens()
      hasStarted = true
      opts.onReportChange()
    },
    dropShares () {
      if (shares === undefined) return
      isFresh = false
      useShares(undefined)
    },
    sendWhole () {
      mustSendWhole = true
      for (const state of teams.values()) state.reported = undefined
    },
    report () {
      const now = opts.now()
      forgetIdleTeams(now)
      const teamDemand = changedDemands(now)
      const demand = teamDemand.length === 0 ? {} : { teamDemand }
      if (shares === undefined) return demand
      const { version, base, shares: list } = shares
      return { teamShares: mustSendWhole ? { version, base, shares: list } : { version }, ...demand }
    },
    confirmReport (demands) {
      mustSendWhole = false
      for (const { team, wanted } of demands) {
        const state = teams.get(team)
        if (state !== undefined) Object.assign(state, { reported: wanted, reportedAt: opts.now() })
      }
    },
    shareOf,
    size: () => teams.size,
  }

  function useShares (next: DatabaseShares | undefined): void {
    const now = opts.now()
    const listed = next?.shares ?? []
    const touched = new Set([...shareByTeam.keys(), ...listed.map(({ team }) => team)])
    const hasNewBase = next?.base !== shares?.base
    // Buckets are filled at their present size first, since the new one holds from now on only.
    for (const team of hasNewBase ? new Set([...touched, ...teams.keys()]) : touched) touch(team, now)
    if (hasNewBase) baseSince = now
    shares = next
    shareByTeam = new Map(listed.map(({ team, share }) => [team, share]))
    for (const team of hasNewBase ? teams.keys() : touched) touch(team, now)
  }

  /** Teams that come later start with these tokens as well. */
  function grantInitialTokens (): void {
    isFresh = true
    for (const { bucket, size } of teams.values()) addTokens(bucket, size, size.initial)
  }

  /** Fills the bucket of a team; creates it if its share is moved. */
  function touch (team: string, now: number): void {
    const limit = opts.limitOf(team)
    if (limit !== undefined) stateOf(team, limit, now)
  }
}

/** Standard deviation of the estimate of a demand, per ms, if operations arrive independently. */
function deviationOf (perMs: number): number {
  return Math.sqrt(perMs / DEMAND_TIME_MS)
}

/** True if a version of shares is later than another: that of a later leader, or a later one of the same leader. */
function isLater ([term, number]: DatabaseShares['version'], [otherTerm, otherNumber]: DatabaseShares['version']): boolean {
  return term > otherTerm || (term === otherTerm && number > otherNumber)
}
