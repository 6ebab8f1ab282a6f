/** Reads elapsed time in ms, suspension of the VM included. */
export type ElapsedClock = () => number

/** Sources of an elapsed clock. */
export interface ElapsedClockOptions {
  /** Monotonic time in ms; may stand still while the VM is suspended. */
  readonly monotonic?: () => number
  /** Time of day in ms; counts suspension, may jump. */
  readonly wall?: () => number
}

/** Differences between the two clocks below this are drift and rounding, in ms. */
const SUSPENSION_MS = 50

/**
 * Creates a clock that runs on with the monotonic clock, and adds what the time of day moved further between two readings.
 * A jump forward of the time of day counts as a suspension: leases end early, which is safe. A jump back adds nothing.
 */
export function createElapsedClock (opts: ElapsedClockOptions = {}): ElapsedClock {
  const monotonic = opts.monotonic ?? (() => performance.now())
  const wall = opts.wall ?? (() => Date.now())
  let lastMonotonic = monotonic()
  let lastWall = wall()
  let suspended = 0
  return () => {
    const nowMonotonic = monotonic()
    const nowWall = wall()
    const extra = (nowWall - lastWall) - (nowMonotonic - lastMonotonic)
    if (extra > SUSPENSION_MS) suspended += extra
    lastMonotonic = nowMonotonic
    lastWall = nowWall
    return nowMonotonic + suspended
  }
}

/** The clock of this process. */
export const elapsedMs: ElapsedClock = createElapsedClock()
