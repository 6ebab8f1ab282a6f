/** A position in a database's replicated log, ordered by term, then by offset. */
export interface LogPosition {
  readonly term: number
  readonly offset: number
}

/** The position before the first record. */
export const ORIGIN: LogPosition = { term: 0, offset: 0 }

/** Orders positions: negative if `a` is before `b`, zero if they are equal, positive if `a` is after `b`. */
export function comparePositions (a: LogPosition, b: LogPosition): number {
  return a.term - b.term || a.offset - b.offset
}

/** True if `a` is at or after `b`. */
export function hasReached (a: LogPosition, b: LogPosition): boolean {
  return comparePositions(a, b) >= 0
}

/** The later of two positions. */
export function laterOf (a: LogPosition, b: LogPosition): LogPosition {
  return hasReached(a, b) ? a : b
}

/** Formats a position as `TERM.OFFSET`, for logs. */
export function formatLogPosition ({ term, offset }: LogPosition): string {
  return `${term}.${offset}`
}
