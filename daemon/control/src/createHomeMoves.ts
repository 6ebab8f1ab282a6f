import { type DatabaseView } from '@briarpick/types'
import { type HomeMove } from '@briarpick/failover'

/** The homes that a leader moves, and since when it has known each home. Times are in ms on the leader's clock. */
export interface HomeMoves {
  /** Time since which the home of a view is known; undefined if it has none or is being moved. */
  homeSince: (view: DatabaseView, now: number) => number | undefined
  /** Records that the home of a view was asked to release the database. */
  begin: (view: DatabaseView, move: HomeMove, now: number) => void
  /** The proxy that is expected to be the next home of a view; undefined if the home is not being moved. */
  destination: (view: DatabaseView, now: number) => string | undefined
  clear: () => void
}

interface KnownHome {
  readonly epoch: number
  readonly since: number
  readonly move?: { readonly to: string, readonly at: number }
}

/** Time after which a move counts as failed, in ms: a home releases its database within half a second of its next renewal. */
const MOVE_TIMEOUT_MS = 2000

/** Creates the table of a new leader. */
export function createHomeMoves (): HomeMoves {
  const homes = new Map<string, KnownHome>()

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

  return {
    homeSince: (view, now) => moveOf(view, now) === undefined ? knownHome(view, now)?.since : undefined,
    begin (view, { to }, now) {
      const known = knownHome(view, now)
      if (known !== undefined) homes.set(view.database, { ...known, move: { to, at: now } })
    },
    destination: (view, now) => moveOf(view, now)?.to,
    clear: () => { homes.clear() },
  }
}
