import { setTimeout as sleep } from 'node:timers/promises'
import { type DatabaseLoans, type DatabaseShares, type DatabaseView, type HomeReport, type LogPosition, type RateLimitTolerance } from '@briarpick/types'
import { holderMs } from '@briarpick/clock'
import { type Directory } from '@briarpick/membership'
import { type Service } from '@briarpick/kernel'
import { createLogger } from '@briarpick/logs'
import { type Metrics } from '@briarpick/metrics'
import { createStatementHome, type HomeLimits, type StatementHome, type TargetDriver } from '@briarpick/statement-home'
import { createTeamLimiter, type TeamLimit, type TeamLimiter, type TeamUse } from '@briarpick/team-limits'

/** Limits of teams in force, and how exactly they are kept. */
export interface TeamLimitSource {
  readonly tolerance: RateLimitTolerance
  readonly limitOf: (team: string) => TeamLimit | undefined
  /** Number of databases in force. */
  readonly databases: () => number
  /** Counts what is admitted and refused. */
  readonly use: TeamUse
}

/** Shares of the teams' limits and loans in the response to a renewal, and the reports that were sent with it. */
export interface ShareUpdate {
  readonly reports: readonly HomeReport[]
  readonly shares: readonly DatabaseShares[]
  readonly loans: readonly DatabaseLoans[]
  /** Databases whose shares control asks for. */
  readonly unknown: readonly string[]
}

/** Options of `createStatementHomes`. */
export interface StatementHomesOptions {
  /** Name and incarnation of this proxy, `name#incarnation`, under which its lease is registered. */
  readonly proxy: string
  readonly dataCentre: string
  readonly directory: Directory
  readonly driver: TargetDriver
  /** True if targets may look healthy and be slow or fail: homes then hold outliers back. */
  readonly ejectsOutliers: boolean
  readonly limitsOf: (database: string) => HomeLimits
  /** Limits of teams; absent if this deployment keeps none. */
  readonly teamLimits?: TeamLimitSource
  /** End of this proxy's lease, in ms on the elapsed clock; -Infinity before the first grant. */
  readonly leaseEnd: () => number
  /** Requests the home named by a view to record a commit at a position in a term; false if the commit must not be acknowledged. */
  readonly confirmCommit: (view: DatabaseView, term: number, position: LogPosition) => Promise<boolean>
  /** Called when a report changed and should reach control before the next periodic renewal. */
  readonly onReportChange: () => void
  readonly metrics: Metrics
}

/** The homes that this proxy runs: one for each database assigned to it, and reassigned ones with open transactions. */
export interface StatementHomes extends Service {
  /** The home of a database, or the reassigned one in which the given transaction is still open. */
  find: (database: string, transaction: string | null) => StatementHome | undefined
  /** Number of reassigned homes with open transactions or pending writes. */
  drainingHomes: () => number
  /** Reports for the next lease renewal; reassigned homes have none. */
  reports: () => readonly HomeReport[]
  /** Uses new shares of the teams' limits and borrowed tokens; called before the lease is extended. */
  applyShares: (update: ShareUpdate) => void
  /** Releases the home of a database after its single statements have ended, or after `timeoutMs`. */
  release: (database: string, timeoutMs: number) => Promise<void>
  releaseAll: (timeoutMs: number) => Promise<void>
  databases: () => readonly string[]
  /** Number of requests that wait for slots in all homes. */
  waiting: () => number
}

interface ActiveHome {
  readonly epoch: number
  readonly home: StatementHome
  readonly teamLimiter: TeamLimiter | undefined
}

/** Longest time that transactions continue in a reassigned home, in ms: half of the usual grace period of a stop. */
const DRAIN_TIMEOUT_MS = 3000
/** Longest time that writes outside transactions continue there, in ms; a home that cannot reach its targets gets no answer at all. */
const WRITE_DRAIN_TIMEOUT_MS = 500
/** Interval of the checks for ended transactions and for the view that names the next home, in ms. */
const POLL_MS = 10
/** Longest wait for the next home to confirm a commit, in ms. Without confirmation the outcome is reported as unknown. */
const NEXT_HOME_TIMEOUT_MS = 1000
const log = createLogger('proxy:homes')

/** Subscribes to the directory, and starts, drains and closes homes as views assign databases. */
export function createStatementHomes (opts: StatementHomesOptions): StatementHomes {
  const activeHomes = new Map<string, ActiveHome>()
  const drainingHomes = new Map<StatementHome, string>()
  const unsubscribe = opts.directory.onChange(applyView)

  function applyView (view: DatabaseView): void {
    const current = activeHomes.get(view.database)
    const epoch = view.home?.proxy === opts.proxy ? view.home.epoch : undefined
    if (current !== undefined && current.epoch !== epoch) {
      log('homeEnded', { database: view.database, epoch: current.epoch, next: view.home?.proxy })
      activeHomes.delete(view.database)
      current.teamLimiter?.close()
      drainAndClose(view.database, current.home)
    }
    if (epoch === undefined) return
    if (current?.epoch === epoch) current.home.setView(view)
    else activeHomes.set(view.database, startHome(view, epoch))
  }

  /**
   * Lets open transactions and pending writes of a released home end before it is closed. Those of a home that was not released cannot
   * commit. Reads end with the home: they are sent again to the next one.
   */
  function drainAndClose (database: string, home: StatementHome): void {
    if (home.transactions() === 0 && !home.hasPendingWrites()) {
      home.close()
      return
    }
    drainingHomes.set(home, database)
    const startedAt = performance.now()
    const timer = setInterval(() => {
      const elapsedMs = performance.now() - startedAt
      const hasWork = home.transactions() > 0 || (home.hasPendingWrites() && elapsedMs < WRITE_DRAIN_TIMEOUT_MS)
      if (hasWork && elapsedMs < DRAIN_TIMEOUT_MS) return
      log('homeDrained', { database, transactions: home.transactions(), hasPendingWrites: home.hasPendingWrites() })
      clearInterval(timer)
      drainingHomes.delete(home)
      home.close()
    }, POLL_MS)
  }

  /** Waits for the view that names the next home, and has that home record the commit; false if the commit must not be acknowledged. */
  async function confirmAtNextHome (database: string, epoch: number, term: number, position: LogPosition): Promise<boolean> {
    const deadlineAt = performance.now() + NEXT_HOME_TIMEOUT_MS
    while (performance.now() < deadlineAt) {
      const view = opts.directory.view(database)
      if (view !== undefined && view.home !== null && view.home.epoch > epoch) {
        const timedOut = sleep(deadlineAt - performance.now(), false)
        return await Promise.race([opts.confirmCommit(view, term, position), timedOut])
      }
      await sleep(POLL_MS)
    }
    return false
  }

  function find (database: string, transaction: string | null): StatementHome | undefined {
    if (transaction !== null) {
      for (const [home, name] of drainingHomes) if (name === database && home.hasTransaction(transaction)) return home
    }
    return activeHomes.get(database)?.home
  }

  /** Homes that have outlived their lease use the shares no more, since control may have given them to others. */
  function dropSharesWithoutLease (): void {
    if (holderMs() < opts.leaseEnd()) return
    for (const { teamLimiter } of activeHomes.values()) teamLimiter?.dropShares()
  }

  function startTeamLimiter (epoch: number): TeamLimiter | undefined {
    if (opts.teamLimits === undefined) return undefined
    return createTeamLimiter({ ...opts.teamLimits, epoch, onReportChange: opts.onReportChange, now: () => performance.now() })
  }

  function startHome (view: DatabaseView, epoch: number): ActiveHome {
    const { database } = view
    const teamLimiter = startTeamLimiter(epoch)
    log('homeStarted', { database, epoch, term: view.term, state: view.state })
    const home = createStatementHome({
      view,
      epoch,
      teamLimiter,
      dataCentre: opts.dataCentre,
      driver: opts.driver,
      ejectsOutliers: opts.ejectsOutliers,
      limits: () => opts.limitsOf(database),
      leaseEnd: () => isStillHome(database, epoch) ? opts.leaseEnd() : -Infinity,
      acknowledgeAtNextHome: async (term, position) => await confirmAtNextHome(database, epoch, term, position),
      onReportChange: opts.onReportChange,
      metrics: opts.metrics,
      now: holderMs,
    })
    return { epoch, home, teamLimiter }
  }

  function isStillHome (database: string, epoch: number): boolean {
    const home = opts.directory.view(database)?.home
    return home?.proxy === opts.proxy && home.epoch === epoch
  }

  return {
    find,
    drainingHomes: () => drainingHomes.size,
    reports () {
      dropSharesWithoutLease()
      return [...activeHomes.values()].map(({ home }) => home.report())
    },
    applyShares ({ reports, shares, loans, unknown }) {
      dropSharesWithoutLease()
      for (const report of reports) {
        const { database, epoch } = report
        const active = activeHomes.get(database)
        const lent = loans.find((own) => own.database === database && own.epoch === epoch)
        if (active?.epoch === epoch) active.teamLimiter?.confirmReport(report, lent?.loans ?? [])
      }
      for (const database of unknown) activeHomes.get(database)?.teamLimiter?.sendWhole()
      for (const set of shares) activeHomes.get(set.database)?.teamLimiter?.applyShares(set)
      if (unknown.length > 0) opts.onReportChange()
    },
    async release (database, timeoutMs) {
      await activeHomes.get(database)?.home.release(timeoutMs)
    },
    async releaseAll (timeoutMs) {
      await Promise.all([...activeHomes.values()].map(({ home }) => home.release(timeoutMs)))
    },
    databases: () => [...activeHomes.keys()],
    waiting: () => [...activeHomes.values()].reduce((sum, { home }) => sum + home.waiting(), 0),
    async close () {
      unsubscribe()
      for (const { home, teamLimiter } of activeHomes.values()) {
        teamLimiter?.close()
        home.close()
      }
      for (const home of drainingHomes.keys()) home.close()
      activeHomes.clear()
    },
  }
}
