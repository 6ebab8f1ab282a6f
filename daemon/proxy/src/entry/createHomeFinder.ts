import { type DatabaseView } from '@briarpick/types'
import { type Home, type HomeSession, notHome } from '@briarpick/home'
import { createLinkPool, type LinkPool, type LinkSession } from '@briarpick/link'
import { type Directory } from '@briarpick/membership'
import { type Homes } from '../createHomes.js'

/** A session on the current home of a database. */
export interface FoundHome {
  readonly session: HomeSession
  /** Returns the session for reuse if it is idle; otherwise closes it, since it has an open transaction or is broken. */
  release: (isIdle: boolean) => void
}

/** Opens sessions on the homes of databases, in this process or over a link to another proxy. */
export interface HomeFinder {
  /** Opens or reuses a session. Rejects with ERR_BRIARPICK_NO_HOME if the database has no home now, or with the error of the link. */
  find: (database: string) => Promise<FoundHome>
  /** Resolves when the view of the database changes, or after `timeoutMs`. */
  waitForChange: (database: string, timeoutMs: number) => Promise<void>
  close: () => void
}

/** Options of `createHomeFinder`. */
export interface HomeFinderOptions {
  /** Name and incarnation of this proxy. */
  readonly proxy: string
  readonly directory: Directory
  readonly homes: Homes
}

/** Maximum number of links to the home of a database. */
const MAX_LINKS = 512
const CONNECT_TIMEOUT_MS = 300

/** Creates a finder that locates homes by the views of the directory. */
export function createHomeFinder (opts: HomeFinderOptions): HomeFinder {
  const pools = new Map<string, { readonly epoch: number, readonly pool: LinkPool }>()
  const local = new Map<string, { readonly home: Home, readonly idle: HomeSession[] }>()
  const watchers = new Map<string, Set<() => void>>()
  const unsubscribe = opts.directory.onChange((view) => {
    for (const notify of watchers.get(view.database) ?? []) notify()
  })

  function findLocal (database: string): FoundHome {
    const home = opts.homes.get(database)
    if (home === undefined) throw notHome(database)
    const idle = idleSessions(database, home)
    const session = idle.pop() ?? home.createSession()
    return {
      session,
      release (isIdle) {
        if (isIdle && opts.homes.get(database) === home) idle.push(session)
        else session.close()
      },
    }
  }

  function idleSessions (database: string, home: Home): HomeSession[] {
    const current = local.get(database)
    if (current?.home === home) return current.idle
    const idle: HomeSession[] = []
    local.set(database, { home, idle })
    return idle
  }

  function poolOf (view: DatabaseView): LinkPool {
    const { database, home } = view
    if (home === null) throw notHome(database)
    const current = pools.get(database)
    if (current?.epoch === home.epoch) return current.pool
    current?.pool.close()
    const pool = createLinkPool({ address: home.address, database, maxLinks: MAX_LINKS, connectTimeoutMs: CONNECT_TIMEOUT_MS })
    pools.set(database, { epoch: home.epoch, pool })
    return pool
  }

  async function findRemote (view: DatabaseView): Promise<FoundHome> {
    const pool = poolOf(view)
    const session: LinkSession = await pool.acquire()
    return {
      session,
      release (isIdle) {
        if (isIdle) pool.release(session)
        else session.close()
      },
    }
  }

  return {
    async find (database) {
      const view = opts.directory.view(database)
      if (view === undefined || view.home === null) throw notHome(database)
      return view.home.proxy === opts.proxy ? findLocal(database) : await findRemote(view)
    },
    waitForChange (database, timeoutMs) {
      return new Promise((resolve) => {
        const databaseWatchers = watchers.get(database) ?? new Set()
        watchers.set(database, databaseWatchers)
        const notify = () => {
          clearTimeout(timer)
          databaseWatchers.delete(notify)
          resolve()
        }
        const timer = setTimeout(notify, timeoutMs)
        databaseWatchers.add(notify)
      })
    },
    close () {
      unsubscribe()
      for (const { pool } of pools.values()) pool.close()
      for (const databaseWatchers of watchers.values()) for (const notify of databaseWatchers) notify()
    },
  }
}
