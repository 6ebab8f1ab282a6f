import { hasReached, laterOf, type LogPosition, ORIGIN } from '@briarpick/types'

/** Tracks the position of each session's last write until every replica has it. */
export interface Watermarks {
  /** Records a committed write; without a session, it counts only for reads that must see every write. */
  record: (session: string | undefined, position: LogPosition) => void
  /** Position that a read of the session must see; without a session, the position of the latest write of any session. */
  positionFor: (session: string | undefined) => LogPosition
  /** Position of the latest write of any session. */
  latest: () => LogPosition
  /** Raises the floor: the position that every read must see. */
  raiseFloor: (position: LogPosition) => void
  /** Removes the sessions whose writes every replica has, and raises the floor to their positions. */
  prune: (lowestReplicaPosition: LogPosition) => void
  size: () => number
}

/** Options of watermarks. */
export interface WatermarksOptions {
  /** Maximum number of sessions. Beyond it, the session that wrote least recently is removed and the floor raised to its position. */
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
    record (session, position) {
      latest = laterOf(latest, position)
      if (session === undefined) return
      const previous = positions.get(session) ?? ORIGIN
      positions.delete(session)
      positions.set(session, laterOf(previous, position))
      const [oldest] = positions
      if (positions.size <= opts.maxSessions) return
      positions.delete(oldest[0])
      raiseFloor(oldest[1])
    },
    positionFor: (session) => session === undefined ? latest : laterOf(floor, positions.get(session) ?? ORIGIN),
    latest: () => latest,
    raiseFloor,
    prune (lowestReplicaPosition) {
      for (const [session, position] of positions) {
        if (!hasReached(lowestReplicaPosition, position)) continue
        positions.delete(session)
        raiseFloor(position)
      }
    },
    size: () => positions.size,
  }
}
