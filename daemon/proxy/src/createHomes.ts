import { type Address, type DatabaseView, type HomeReport } from '@briarpick/types'
import { type BundleSettings, policyOf } from '@briarpick/bundle'
import { createHome, type Home } from '@briarpick/home'
import { type Directory } from '@briarpick/membership'
import { type Service } from '@briarpick/kernel'
import { createLogger } from '@briarpick/logs'
import { type Metrics } from '@briarpick/metrics'
import { type TargetConnection } from '@briarpick/pg-target'

/** Options of the homes of a proxy. */
export interface HomesOptions {
  /** Name and incarnation of this proxy, as leases know it. */
  readonly proxy: string
  readonly dataCentre: string
  readonly directory: Directory
  readonly settings: () => BundleSettings
  readonly isLeaseValid: () => boolean
  readonly connect: (database: string, address: Address) => Promise<TargetConnection>
  readonly onNews: () => void
  readonly metrics: Metrics
}

/** The databases whose home this proxy is. */
export interface Homes extends Service {
  get: (database: string) => Home | undefined
  reports: () => readonly HomeReport[]
  /** Gives one database up, once its work has ended. */
  release: (database: string, timeoutMs: number) => Promise<void>
  releaseAll: (timeoutMs: number) => Promise<void>
  databases: () => readonly string[]
}

interface Held {
  readonly epoch: number
  readonly home: Home
}

const log = createLogger('proxy:homes')

/** Starts following the directory. */
export function createHomes (opts: HomesOptions): Homes {
  const held = new Map<string, Held>()
  const stopFollowing = opts.directory.onChange(follow)

  function follow (view: DatabaseView): void {
    const current = held.get(view.database)
    const epoch = view.home?.proxy === opts.proxy ? view.home.epoch : undefined
    if (current !== undefined && current.epoch !== epoch) {
      log('leave', { database: view.database, epoch: current.epoch })
      held.delete(view.database)
      current.home.close()
    }
    if (epoch === undefined) return
    if (current?.epoch === epoch) current.home.setView(view)
    else held.set(view.database, { epoch, home: startHome(view, epoch) })
  }

  function startHome (view: DatabaseView, epoch: number): Home {
    const { database, service } = view
    log('enter', { database, epoch })
    return createHome({
      view,
      epoch,
      dataCentre: opts.dataCentre,
      policy: () => policyOf(opts.settings(), service),
      holdsLease: () => opts.isLeaseValid() && isStillHome(database, epoch),
      connect: (address) => opts.connect(database, address),
      onReportChange: opts.onNews,
      metrics: opts.metrics,
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
