import { type DatabaseView, type HomeReport } from '@briarpick/types'
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
  readonly directory: Directory
  readonly driver: TargetDriver
  readonly limitsOf: (database: string) => HomeLimits
  readonly isLeaseValid: () => boolean
  readonly onNews: () => void
  readonly metrics: Metrics
}

/** The databases whose home this proxy is. */
export interface StatementHomes extends Service {
  get: (database: string) => StatementHome | undefined
  reports: () => readonly HomeReport[]
  release: (database: string, timeoutMs: number) => Promise<void>
  releaseAll: (timeoutMs: number) => Promise<void>
  databases: () => readonly string[]
}

interface Held {
  readonly epoch: number
  readonly home: StatementHome
}

const log = createLogger('proxy:homes')

/** Starts following the directory. */
export function createStatementHomes (opts: StatementHomesOptions): StatementHomes {
  const held = new Map<string, Held>()
  const stopFollowing = opts.directory.onChange(follow)

  function follow (view: DatabaseView): void {
    const current = held.get(view.database)
    const epoch = view.home?.proxy === opts.proxy ? view.home.epoch : undefined
    if (current !== undefined && current.epoch !== epoch) {
      log('leave', { database: view.database, epoch: current.epoch, next: view.home?.proxy })
      held.delete(view.database)
      current.home.close()
    }
    if (epoch === undefined) return
    if (current?.epoch === epoch) current.home.setView(view)
    else held.set(view.database, { epoch, home: startHome(view, epoch) })
  }

  function startHome (view: DatabaseView, epoch: number): StatementHome {
    const { database } = view
    log('enter', { database, epoch, term: view.term, state: view.state })
    return createStatementHome({
      view,
      epoch,
      driver: opts.driver,
      limits: () => opts.limitsOf(database),
      mayAct: () => opts.isLeaseValid() && isStillHome(database, epoch),
      onNews: opts.onNews,
      metrics: opts.metrics,
      now: elapsedMs,
    })
  }

  function isStillHome (database: string, epoch: number): boolean {
    const home = opts.directory.view(database)?.home
    return home?.proxy === opts.proxy && home.epoch === epoch
  }

  return {
    get: (database) => held.get(database)?.home,
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
      held.clear()
    },
  }
}
