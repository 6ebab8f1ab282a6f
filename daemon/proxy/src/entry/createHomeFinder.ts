import { type DatabaseView } from '@briarpick/types'
import { type Home, type HomeSession, notHome } from '@briarpick/home'
import { createLinkPool, type LinkPool, type LinkSession } from '@briarpick/link'
import { type Directory } from '@briarpick/membership'
import { type Homes } from '../createHomes.js'

/** A session on the present home of a database. */
export interface FoundHome {
  readonly session: HomeSession
  /** Gives the session back; it is closed if it has an open transaction or broke. */
  release: (isIdle: boolean) => void
}

/** Finds the home of a database: here, or over a link. */
export interface HomeFinder {
  find: (database: string) => Promise<FoundHome>
  /** Resolves when the view of the database changes, or after the time. */
  changed: (database: string, timeoutMs: number) => Promise<void>
  close: () => void
}

/** Options of a home finder. */
export interface HomeFinderOptions {
  readonly proxy: string
  readonly directory: Directory
  readonly homes: Homes
}

const MAX_LINKS = 512
const CONNECT_TIMEOUT_MS = 300

/** Creates a finder that follows the directory. */
export function createHomeFinder (opts: HomeFinderOptions): HomeFinder {
  const pools = new Map<string, { readonly epoch: number, readonly pool: LinkPool }>()
  const local = new Map<string, { readonly home: Home, readonly idle: HomeSession[] }>()
  const watchers = new Map<string, Set<() => void>>()
  const stopFollowing = opts.directory.onChange((view) => {
    for (const wake of watchers.get(view.database) ?? []) wake()
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
    const known = local.get(database)
    if (known?.home === home) return known.idle
    const idle: HomeSession[] = []
    local.set(database, { home, idle })
    return idle
  }

  function poolOf (view: DatabaseView): LinkPool {
    const { database, home } = view
    if (home === null) throw notHome(database)
    const known = pools.get(database)
    if (known?.epoch === home.epoch) return known.pool
    known?.pool.close()
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
    changed (database, timeoutMs) {
      return new Promise((resolve) => {
        const watching = watchers.get(database) ?? new Set()
        watchers.set(database, watching)
        const wake = () => {
          clearTimeout(timer)
          watching.delete(wake)
          resolve()
        }
        const timer = setTimeout(wake, timeoutMs)
        watching.add(wake)
      })
    },
    close () {
      stopFollowing()
      for (const { pool } of pools.values()) pool.close()
      for (const watching of watchers.values()) for (const wake of watching) wake()
    },
  }
}
