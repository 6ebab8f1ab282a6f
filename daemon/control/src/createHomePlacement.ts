import { type DatabaseView } from '@briarpick/types'
import { type HomeMove } from '@briarpick/failover'

/** Options of `createHomePlacement`. */
export interface HomePlacementOptions {
  /** All views of the control log as this node has applied it. */
  readonly views: () => readonly DatabaseView[]
}

/** Where homes are and where they are about to be, as one leader knows it. Times are in ms on the leader's clock. */
export interface HomePlacement {
  /** Time since which the home of a view is known; undefined if it has none or is being moved. */
  homeSince: (view: DatabaseView, now: number) => number | undefined
  /** Records that the assignment of a home was proposed, or that the proposal has ended. */
  setPending: (database: string, proxy: string | undefined) => void
  /** Records that the home of a view was asked to release the database. */
  beginMove: (view: DatabaseView, move: HomeMove, now: number) => void
  /**
   * Number of homes of each proxy for a decision about a view. Proposed assignments and planned moves of other databases count at their
   * destination, so that homes are spread evenly.
   */
  homeCounts: (view: DatabaseView, now: number) => ReadonlyMap<string, number>
  /** Discards what was counted before a change of the views. */
  recount: () => void
  clear: () => void
}

interface KnownHome {
  readonly epoch: number
  readonly since: number
  readonly move?: { readonly to: string, readonly at: number }
}

/** Time after which a move counts as failed, in ms: a home releases its database within half a second of its next renewal. */
const MOVE_TIMEOUT_MS = 2000

/** Creates the placement of a new leader. */
export function createHomePlacement (opts: HomePlacementOptions): HomePlacement {
  const homes = new Map<string, KnownHome>()
  const pendingHomes = new Map<string, string>()
  /** Homes of each proxy; undefined if they have to be counted again. */
  let counts: ReadonlyMap<string, number> | undefined

  function knownHome ({ database, home }: DatabaseView, now: number): KnownHome | undefined {
    if (home === null) {
      homes.delete(database)
      return undefined
    }
    const known = homes.get(database)
    if (known?.epoch === home.epoch) return known
    const added = { epoch: home.epoch, since: now }
    homes.set(database, added)
    return added
  }

  function moveOf (view: DatabaseView, now: number): KnownHome['move'] {
    const move = knownHome(view, now)?.move
    return move !== undefined && now - move.at < MOVE_TIMEOUT_MS ? move : undefined
  }

  /** Counts homes at their destinations, but that of `stationary` where it is. */
  function countHomes (now: number, stationary?: string): ReadonlyMap<string, number> {
    const counted = new Map<string, number>()
    for (const view of opts.views()) {
      const destination = view.database === stationary ? undefined : moveOf(view, now)?.to
      const proxy = pendingHomes.get(view.database) ?? destination ?? view.home?.proxy
      if (proxy !== undefined) counted.set(proxy, (counted.get(proxy) ?? 0) + 1)
    }
    return counted
  }

  return {
    homeSince: (view, now) => moveOf(view, now) === undefined ? knownHome(view, now)?.since : undefined,
    setPending (database, proxy) {
      counts = undefined
      if (proxy === undefined) pendingHomes.delete(database)
      else pendingHomes.set(database, proxy)
    },
    beginMove (view, { to }, now) {
      const known = knownHome(view, now)
      if (known === undefined) return
      counts = undefined
      homes.set(view.database, { ...known, move: { to, at: now } })
    },
    homeCounts (view, now) {
      if (moveOf(view, now) !== undefined) return countHomes(now, view.database)
      counts ??= countHomes(now)
      return counts
    },
    recount: () => { counts = undefined },
    clear () {
      homes.clear()
      pendingHomes.clear()
      counts = undefined
    },
  }
}
