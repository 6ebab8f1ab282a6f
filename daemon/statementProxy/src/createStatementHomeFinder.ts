import { type Address, type DatabaseView, formatAddress, type LogPosition } from '@briarpick/types'
import { type Directory } from '@briarpick/membership'
import { type HomeFinder, type ReachedHome } from '@briarpick/statement-entry'
import { createStatementLink, runAtHome, type StatementLink } from '@briarpick/statement-link'
import { type StatementHomes } from './createStatementHomes.js'

/** Options of a finder. */
export interface StatementHomeFinderOptions {
  readonly proxy: string
  readonly directory: Directory
  readonly homes: StatementHomes
  readonly isInTouch: () => boolean
  /** Asks control for newer views. */
  readonly renewNow: () => void
}

/** A finder that owns its links. */
export interface StatementHomeFinder extends HomeFinder {
  /** Asks the home that a view names for leave to acknowledge a commit. */
  acknowledge: (view: DatabaseView, term: number, position: LogPosition) => Promise<boolean>
  close: () => void
}

/** Time between two questions for newer views while somebody waits for one, in ms. */
const ASK_AGAIN_MS = 60

/** Creates a finder that follows the directory. */
export function createStatementHomeFinder (opts: StatementHomeFinderOptions): StatementHomeFinder {
  const links = new Map<string, StatementLink>()
  const watchers = new Map<string, Set<() => void>>()
  let askedAt = -Infinity
  const stopFollowing = opts.directory.onChange((view) => {
    for (const wake of [...watchers.get(view.database) ?? []]) wake()
  })

  function linkTo (address: Address): StatementLink {
    const key = formatAddress(address)
    const link = links.get(key) ?? createStatementLink({ address })
    links.set(key, link)
    return link
  }

  function askForNews (): void {
    if (performance.now() - askedAt < ASK_AGAIN_MS) return
    askedAt = performance.now()
    opts.renewNow()
  }

  function localHome (database: string, epoch: number): ReachedHome {
    return {
      epoch,
      run: async (request) => ({ kind: 'outcome', outcome: await runAtHome(opts.homes.find(database, request.transaction), request) }),
      forget: (transaction) => opts.homes.find(database, transaction)?.rollBack(transaction),
    }
  }

  function remoteHome (database: string, epoch: number, address: Address): ReachedHome {
    const link = linkTo(address)
    return { epoch, run: link.run, forget: (transaction) => link.forget(database, transaction) }
  }

  return {
    find (database) {
      const home = opts.directory.view(database)?.home ?? null
      if (home === null) return undefined
      return home.proxy === opts.proxy ? localHome(database, home.epoch) : remoteHome(database, home.epoch, home.address)
    },
    async acknowledge ({ database, home }, term, position) {
      if (home === null) return false
      if (home.proxy === opts.proxy) return opts.homes.find(database, null)?.acknowledgeForPreviousHome(term, position) ?? false
      return await linkTo(home.address).acknowledge(database, term, position)
    },
    isInTouch: opts.isInTouch,
    changed (database, timeoutMs) {
      askForNews()
      return new Promise((resolve) => {
        const watching = watchers.get(database) ?? new Set()
        watchers.set(database, watching)
        const wake = () => {
          clearTimeout(timer)
          watching.delete(wake)
          resolve()
        }
        const timer = setTimeout(wake, Math.min(timeoutMs, ASK_AGAIN_MS))
        watching.add(wake)
      })
    },
    close () {
      stopFollowing()
      for (const link of links.values()) link.close()
      for (const watching of watchers.values()) for (const wake of [...watching]) wake()
    },
  }
}
