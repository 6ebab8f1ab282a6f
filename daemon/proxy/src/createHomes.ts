import { type Address, type DatabaseView, type HomeReport } from '@briarpick/types'
import { type BundleSettings, policyOf } from '@briarpick/bundle'
import { createHome, type Home } from '@briarpick/home'
import { type Directory } from '@briarpick/membership'
import { type Service } from '@briarpick/kernel'
import { createLogger } from '@briarpick/logs'
import { type Metrics } from '@briarpick/metrics'
import { type TargetConnection } from '@briarpick/pg-target'

/** Options of `createHomes`. */
export interface HomesOptions {
  /** Name and incarnation of this proxy, `name#incarnation`, under which its lease is registered. */
  readonly proxy: string
  readonly dataCentre: string
  readonly directory: Directory
  readonly settings: () => BundleSettings
  readonly isLeaseValid: () => boolean
  readonly connect: (database: string, address: Address) => Promise<TargetConnection>
  /** Called when a report changed and should reach control before the next periodic renewal. */
  readonly onReportChange: () => void
  readonly metrics: Metrics
}

/** The homes that this proxy runs, one for each database assigned to it. */
export interface Homes extends Service {
  get: (database: string) => Home | undefined
  /** Reports for the next lease renewal. */
  reports: () => readonly HomeReport[]
  /** Releases the home of a database after its requests have ended, or after `timeoutMs`. */
  release: (database: string, timeoutMs: number) => Promise<void>
  releaseAll: (timeoutMs: number) => Promise<void>
  databases: () => readonly string[]
}

interface ActiveHome {
  readonly epoch: number
  readonly home: Home
}

const log = createLogger('proxy:homes')

/** Subscribes to the directory, and starts and closes homes as views assign databases. */
export function createHomes (opts: HomesOptions): Homes {
  const activeHomes = new Map<string, ActiveHome>()
  const unsubscribe = opts.directory.onChange(applyView)

  function applyView (view: DatabaseView): void {
    const current = activeHomes.get(view.database)
    const epoch = view.home?.proxy === opts.proxy ? view.home.epoch : undefined
    if (current !== undefined && current.epoch !== epoch) {
      log('homeEnded', { database: view.database, epoch: current.epoch })
      activeHomes.delete(view.database)
      current.home.close()
    }
    if (epoch === undefined) return
    if (current?.epoch === epoch) current.home.setView(view)
    else activeHomes.set(view.database, { epoch, home: startHome(view, epoch) })
  }

  function startHome (view: DatabaseView, epoch: number): Home {
    const { database, service } = view
    log('homeStarted', { database, epoch })
    return createHome({
      view,
      epoch,
      dataCentre: opts.dataCentre,
      policy: () => policyOf(opts.settings(), service),
      holdsLease: () => opts.isLeaseValid() && isStillHome(database, epoch),
      connect: (address) => opts.connect(database, address),
      onReportChange: opts.onReportChange,
      metrics: opts.metrics,
    })
  }

  function isStillHome (database: string, epoch: number): boolean {
    const home = opts.directory.view(database)?.home
    return home?.proxy === opts.proxy && home.epoch === epoch
  }

  return {
    get: (database) => activeHomes.get(database)?.home,
    reports: () => [...activeHomes.values()].map(({ home }) => home.report()),
    async release (database, timeoutMs) {
      await activeHomes.get(database)?.home.release(timeoutMs)
    },
    async releaseAll (timeoutMs) {
      await Promise.all([...activeHomes.values()].map(({ home }) => home.release(timeoutMs)))
    },
    databases: () => [...activeHomes.keys()],
    async close () {
      unsubscribe()
      for (const { home } of activeHomes.values()) home.close()
      activeHomes.clear()
    },
  }
}
