import { hasReached, laterOf, type LogPosition, ORIGIN } from '@briarpick/types'

/** The position of each session's last write, as long as some replica may lack it. */
export interface Watermarks {
  /** Notes a committed write. */
  note: (session: string | undefined, position: LogPosition) => void
  /** Position that a read of the session must see; without a session, that of the last write of all. */
  of: (session: string | undefined) => LogPosition
  /** Position of the last write of all. */
  latest: () => LogPosition
  /** Raises the position that every read must see. */
  raiseFloor: (position: LogPosition) => void
  /** Forgets sessions whose writes are on every replica. */
  prune: (slowestReplica: LogPosition) => void
  size: () => number
}

/** Options of watermarks. */
export interface WatermarksOptions {
  /** Most sessions that are kept; older ones then wait for the floor. */
  readonly maxSessions: number
}

/** Creates watermarks with the floor at the origin. */
export function createWatermarks (opts: WatermarksOptions): Watermarks {
  const positions = new Map<string, LogPosition>()
  let floor = ORIGIN
  let latest = ORIGIN

  function raiseFloor (position: LogPosition): void {
    floor = laterOf(floor, position)
    latest = laterOf(latest, position)
  }

  return {
    note (session, position) {
      latest = laterOf(latest, position)
      if (session === undefined) return
      const known = positions.get(session) ?? ORIGIN
      positions.delete(session)
      positions.set(session, laterOf(known, position))
      const [oldest] = positions
      if (positions.size <= opts.maxSessions) return
      positions.delete(oldest[0])
      raiseFloor(oldest[1])
    },
    of: (session) => session === undefined ? latest : laterOf(floor, positions.get(session) ?? ORIGIN),
    latest: () => latest,
    raiseFloor,
    prune (slowestReplica) {
      for (const [session, position] of positions) {
        if (!hasReached(slowestReplica, position)) continue
        positions.delete(session)
        raiseFloor(position)
      }
    },
    size: () => positions.size,
  }
}
