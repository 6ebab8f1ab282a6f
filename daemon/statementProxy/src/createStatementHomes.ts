import { setTimeout as sleep } from 'node:timers/promises'
import { type DatabaseView, type HomeReport, type LogPosition } from '@briarpick/types'
import { elapsedMs } from '@briarpick/clock'
import { type Directory } from '@briarpick/membership'
import { type Service } from '@briarpick/kernel'
import { createLogger } from '@briarpick/logs'
import { type Metrics } from '@briarpick/metrics'
import { createStatementHome, type HomeLimits, type StatementHome, type TargetDriver } from '@briarpick/statement-home'

/** Options of the homes of a proxy. */
export interface StatementHomesOptions {
  /** Name and incarnation of this proxy, as leases know it. */
  readonly proxy: string
  readonly dataCentre: string
  readonly directory: Directory
  readonly driver: TargetDriver
  readonly limitsOf: (database: string) => HomeLimits
  readonly isLeaseValid: () => boolean
  /** Asks the home that a view names for leave to acknowledge a commit. */
  readonly askHome: (view: DatabaseView, term: number, position: LogPosition) => Promise<boolean>
  readonly onNews: () => void
  readonly metrics: Metrics
}

/** The databases whose home this proxy is. */
export interface StatementHomes extends Service {
  /** The home of a database, or the earlier one that a transaction still runs at. */
  find: (database: string, transaction: string | null) => StatementHome | undefined
  /** Open transactions at homes that were handed over. */
  finishing: () => number
  reports: () => readonly HomeReport[]
  release: (database: string, timeoutMs: number) => Promise<void>
  releaseAll: (timeoutMs: number) => Promise<void>
  databases: () => readonly string[]
}

interface Held {
  readonly epoch: number
  readonly home: StatementHome
}

/** Longest time that transactions go on at a home that was handed over, in ms: half of a usual grace. */
const FINISH_MS = 3000
const FINISH_CHECK_MS = 10
/** Longest time to get the next home's leave, in ms; without it the caller is told that the outcome is unknown. */
const ASK_TIMEOUT_MS = 1000
const log = createLogger('proxy:homes')

/** Starts following the directory. */
export function createStatementHomes (opts: StatementHomesOptions): StatementHomes {
  const held = new Map<string, Held>()
  const finishing = new Map<StatementHome, string>()
  const stopFollowing = opts.directory.onChange(follow)

  function follow (view: DatabaseView): void {
    const current = held.get(view.database)
    const epoch = view.home?.proxy === opts.proxy ? view.home.epoch : undefined
    if (current !== undefined && current.epoch !== epoch) {
      log('leave', { database: view.database, epoch: current.epoch, next: view.home?.proxy })
      held.delete(view.database)
      finish(view.database, current.home)
    }
    if (epoch === undefined) return
    if (current?.epoch === epoch) current.home.setView(view)
    else held.set(view.database, { epoch, home: startHome(view, epoch) })
  }

  /** A home that was handed over lets its open transactions end; one that was taken away has none that may commit. */
  function finish (database: string, home: StatementHome): void {
    if (home.transactions() === 0) {
      home.close()
      return
    }
    finishing.set(home, database)
    const endsAt = performance.now() + FINISH_MS
    const timer = setInterval(() => {
      if (home.transactions() > 0 && performance.now() < endsAt) return
      log('finished', { database, transactions: home.transactions() })
      clearInterval(timer)
      finishing.delete(home)
      home.close()
    }, FINISH_CHECK_MS)
  }

  /** Waits for the view that names the next home, and asks that. */
  async function askNextHome (database: string, epoch: number, term: number, position: LogPosition): Promise<boolean> {
    const until = performance.now() + ASK_TIMEOUT_MS
    while (performance.now() < until) {
      const view = opts.directory.view(database)
      if (view !== undefined && view.home !== null && view.home.epoch > epoch) {
        const timedOut = sleep(until - performance.now(), false)
        return await Promise.race([opts.askHome(view, term, position), timedOut])
      }
      await sleep(FINISH_CHECK_MS)
    }
    return false
  }

  function find (database: string, transaction: string | null): StatementHome | undefined {
    if (transaction !== null) {
      for (const [home, of] of finishing) if (of === database && home.hasTransaction(transaction)) return home
    }
    return held.get(database)?.home
  }

  function startHome (view: DatabaseView, epoch: number): StatementHome {
    const { database } = view
    log('enter', { database, epoch, term: view.term, state: view.state })
    return createStatementHome({
      view,
      epoch,
      dataCentre: opts.dataCentre,
      driver: opts.driver,
      limits: () => opts.limitsOf(database),
      mayAct: () => opts.isLeaseValid() && isStillHome(database, epoch),
      acknowledgeAtNextHome: async (term, position) => await askNextHome(database, epoch, term, position),
      onReportChanged: opts.onNews,
      metrics: opts.metrics,
      now: elapsedMs,
    })
  }

  function isStillHome (database: string, epoch: number): boolean {
    const home = opts.directory.view(database)?.home
    return home?.proxy === opts.proxy && home.epoch === epoch
  }

  return {
    find,
    finishing: () => [...finishing.keys()].reduce((sum, home) => sum + home.transactions(), 0),
    reports: () => [...held.values()].map(({ home }) => home.report()),
    async release (database, timeoutMs) {
      await held.get(database)?.home.release(timeoutMs)
    },
    async releaseAll (timeoutMs) {
      await Promise.all([...held.values()].map(({ home }) => home.release(timeoutMs)))
    },
    databases: () => [...held.keys()],
    async close () {
      stopFollowing()
      for (const { home } of held.values()) home.close()
      for (const home of finishing.keys()) home.close()
      held.clear()
    },
  }
}
