/** A place in a database's replicated log. Positions of a later term are later. */
export interface LogPosition {
  readonly term: number
  readonly offset: number
}

/** The position before any record. */
export const ORIGIN: LogPosition = { term: 0, offset: 0 }

/** Negative if `a` is before `b`, zero if equal, positive if after. */
export function comparePositions (a: LogPosition, b: LogPosition): number {
  return a.term - b.term || a.offset - b.offset
}

/** True if `a` is at or past `b`. */
export function hasReached (a: LogPosition, b: LogPosition): boolean {
  return comparePositions(a, b) >= 0
}

/** The later of two positions. */
export function laterOf (a: LogPosition, b: LogPosition): LogPosition {
  return hasReached(a, b) ? a : b
}
