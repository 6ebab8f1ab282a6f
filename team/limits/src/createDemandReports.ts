import { type TeamDemand } from '@briarpick/types'
import { countOperation, createDemandEstimate, type DemandEstimate, demandPerMs, isLargeChange, isUnusualChange } from './demandEstimate.js'

/** What a home's report on a team's demand depends on besides the operations. */
export interface ShareInUse {
  /** Limit of the team, over all databases, in operations per second. */
  readonly ratePerS: number
  /** Tokens that the home's bucket gains per ms. */
  readonly fillPerMs: number
  /** Time since when the home has used its share, in ms. */
  readonly shareSince: number
}

/** Decides which demands of teams a home reports to control, so that shares follow them. Times are in ms. */
export interface DemandReports {
  /** Counts an operation that a caller asked for. */
  count: (team: string, now: number) => void
  /** Counts a refused operation; true if the team has become short of its share by it. */
  refuse: (team: string, now: number) => boolean
  isShort: (team: string) => boolean
  /** Changed demands of the teams whose shares are moved, and demands of those whose share does not suffice; others cost nothing. */
  changed: (movedTeams: Iterable<string>, shareOf: (team: string) => ShareInUse | undefined, now: number) => readonly TeamDemand[]
  /** Records that control has received demands. */
  confirm: (demands: readonly TeamDemand[], now: number) => void
  /** Reports all demands again. */
  repeatAll: () => void
  forget: (team: string) => void
}

/** Reports about one team. */
interface TeamReport {
  readonly team: string
  readonly demand: DemandEstimate
  /** Time of the last refusal, and number of refusals with less than `SHORT_MS` between them. */
  refusedAt: number
  refusals: number
  /** Demand that control knows; undefined if none. */
  reported: number | undefined
  reportedAt: number
}

/** Refusals within `SHORT_MS` from which a team is short of its share; fewer are the usual variation. */
const SHORT_REFUSALS = 3
/** Time after a refusal for which a team counts as short of its share, in ms. */
const SHORT_MS = 1000
/** Demand of a team that is short, at least this multiple of what its bucket fills: refused callers are not all seen here. */
const SHORT_FACTOR = 2
/** Age from which a smaller relative change of a reported demand is worth a report, in ms. */
const REPORT_AGE_MS = 1000
const AGED_REPORT_CHANGE = 0.05
/** Precision of the demands that are sent. */
const DEMAND_STEPS = 10_000

/** Creates the reports of a home without teams. */
export function createDemandReports (): DemandReports {
  const reports = new Map<string, TeamReport>()
  const short = new Set<string>()

  function reportOf (team: string, now: number): TeamReport {
    const known = reports.get(team)
    if (known !== undefined) return known
    const report: TeamReport = {
      team,
      demand: createDemandEstimate(now),
      refusedAt: -Infinity,
      refusals: 0,
      reported: undefined,
      reportedAt: -Infinity,
    }
    reports.set(team, report)
    return report
  }

  /** Demand as a fraction of the limit. */
  function wantedBy (report: TeamReport, { ratePerS, fillPerMs, shareSince }: ShareInUse, now: number): number {
    const { team, demand, refusedAt } = report
    if (ratePerS === 0) return 0
    const isStillShort = short.has(team) && refusedAt > shareSince
    const perMs = Math.max(demandPerMs(demand, now), isStillShort ? SHORT_FACTOR * fillPerMs : 0)
    return Math.round(perMs * 1000 / ratePerS * DEMAND_STEPS) / DEMAND_STEPS
  }

  function isWorthReport ({ team, reported, reportedAt }: TeamReport, wanted: number, { ratePerS }: ShareInUse, now: number): boolean {
    if (reported === undefined) return true
    if (now - reportedAt > REPORT_AGE_MS) return Math.abs(wanted - reported) > AGED_REPORT_CHANGE * Math.max(wanted, reported)
    const perMs = ratePerS / 1000
    return isLargeChange(wanted, reported) && (isUnusualChange(wanted * perMs, reported * perMs) || (short.has(team) && wanted > reported))
  }

  return {
    count (team, now) {
      countOperation(reportOf(team, now).demand, now)
    },
    refuse (team, now) {
      const report = reportOf(team, now)
      report.refusals = now - report.refusedAt <= SHORT_MS ? report.refusals + 1 : 1
      report.refusedAt = now
      if (report.refusals < SHORT_REFUSALS || short.has(team)) return false
      short.add(team)
      return true
    },
    isShort: (team) => short.has(team),
    changed (movedTeams, shareOf, now) {
      const moved = new Set(movedTeams)
      const demands: TeamDemand[] = []
      for (const team of new Set([...moved, ...short])) {
        const report = reportOf(team, now)
        if (now - report.refusedAt > SHORT_MS) short.delete(team)
        const share = shareOf(team)
        if (share === undefined) continue
        const wanted = wantedBy(report, share, now)
        if (moved.has(team) ? isWorthReport(report, wanted, share, now) : short.has(team)) demands.push({ team, wanted })
      }
      return demands
    },
    confirm (demands, now) {
      for (const { team, wanted } of demands) {
        const report = reports.get(team)
        if (report !== undefined) Object.assign(report, { reported: wanted, reportedAt: now })
      }
    },
    repeatAll () {
      for (const report of reports.values()) report.reported = undefined
    },
    forget (team) {
      reports.delete(team)
    },
  }
}
