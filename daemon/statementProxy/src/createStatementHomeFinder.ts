import { type Address, type DatabaseView, formatAddress, type LogPosition } from '@briarpick/types'
import { type Directory } from '@briarpick/membership'
import { type StatementHomeClient, type StatementHomeFinder } from '@briarpick/statement-entry'
import { createStatementLink, runOnLocalHome, type StatementLink } from '@briarpick/statement-link'
import { type StatementHomes } from './createStatementHomes.js'

/** Options of `createStatementHomeFinder`. */
export interface StatementHomeFinderOptions {
  /** Name and incarnation of this proxy. */
  readonly proxy: string
  readonly directory: Directory
  readonly homes: StatementHomes
  /** False while control has not answered recently, so that views may be outdated. */
  readonly isControlReachable: () => boolean
  /** Requests newer views from control by an immediate lease renewal. */
  readonly renewNow: () => void
}

/** Locates homes, in this process or over links to other proxies, and owns these links. */
export interface ProxyHomeFinder extends StatementHomeFinder {
  /** Requests the home named by a view to record a commit at a position in a term; false if the commit must not be acknowledged. */
  confirmCommit: (view: DatabaseView, term: number, position: LogPosition) => Promise<boolean>
  close: () => void
}

/** Shortest time between two requests for newer views while a caller waits for one, in ms. */
const VIEW_REQUEST_INTERVAL_MS = 60

/** Creates a finder that locates homes by the views of the directory. */
export function createStatementHomeFinder (opts: StatementHomeFinderOptions): ProxyHomeFinder {
  const links = new Map<string, StatementLink>()
  const watchers = new Map<string, Set<() => void>>()
  let requestedAt = -Infinity
  const unsubscribe = opts.directory.onChange((view) => {
    for (const notify of [...watchers.get(view.database) ?? []]) notify()
  })

  function linkTo (address: Address): StatementLink {
    const key = formatAddress(address)
    const link = links.get(key) ?? createStatementLink({ address })
    links.set(key, link)
    return link
  }

  function requestViews (): void {
    if (performance.now() - requestedAt < VIEW_REQUEST_INTERVAL_MS) return
    requestedAt = performance.now()
    opts.renewNow()
  }

  function localHome (database: string, epoch: number): StatementHomeClient {
    return {
      epoch,
      async run (request, signal) {
        return { kind: 'outcome', outcome: await runOnLocalHome(opts.homes.find(database, request.transaction), request, signal) }
      },
      unresponsiveMs: () => 0,
      rollBack: (transaction) => opts.homes.find(database, transaction)?.rollBack(transaction),
    }
  }

  function remoteHome (database: string, epoch: number, address: Address): StatementHomeClient {
    const link = linkTo(address)
    return { epoch, run: link.run, unresponsiveMs: link.unresponsiveMs, rollBack: (transaction) => link.rollBack(database, transaction) }
  }

  return {
    find (database) {
      const home = opts.directory.view(database)?.home ?? null
      if (home === null) return undefined
      return home.proxy === opts.proxy ? localHome(database, home.epoch) : remoteHome(database, home.epoch, home.address)
    },
    async confirmCommit ({ database, home }, term, position) {
      if (home === null) return false
      if (home.proxy === opts.proxy) return opts.homes.find(database, null)?.acknowledgeForPreviousHome(term, position) ?? false
      return await linkTo(home.address).acknowledgeForPreviousHome(database, term, position)
    },
    isControlReachable: opts.isControlReachable,
    waitForChange (database, timeoutMs) {
      requestViews()
      return new Promise((resolve) => {
        const databaseWatchers = watchers.get(database) ?? new Set()
        watchers.set(database, databaseWatchers)
        const notify = () => {
          clearTimeout(timer)
          databaseWatchers.delete(notify)
          resolve()
        }
        const timer = setTimeout(notify, Math.min(timeoutMs, VIEW_REQUEST_INTERVAL_MS))
        databaseWatchers.add(notify)
      })
    },
    close () {
      unsubscribe()
      for (const link of links.values()) link.close()
      for (const databaseWatchers of watchers.values()) for (const notify of [...databaseWatchers]) notify()
    },
  }
}
