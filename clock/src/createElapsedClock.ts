/** Returns elapsed time in ms, including time during which the VM was suspended. */
export type ElapsedClock = () => number

/** Time sources of an elapsed clock. */
export interface ElapsedClockOptions {
  /** Monotonic time in ms; may stop while the VM is suspended. */
  readonly monotonic?: () => number
  /** Wall-clock time in ms; advances during suspension, but may be stepped. */
  readonly wall?: () => number
}

/** Smallest difference between the clocks that counts as a suspension, in ms; smaller ones are drift and rounding. */
const MIN_SUSPENSION_MS = 50

/**
 * Creates a clock that follows the monotonic clock and adds the time by which the wall clock advanced further between two
 * readings. A forward step of the wall clock therefore counts as a suspension, so the clock may count more time than has passed. A
 * backward step adds nothing.
 */
export function createElapsedClock (opts: ElapsedClockOptions = {}): ElapsedClock {
  const monotonic = opts.monotonic ?? (() => performance.now())
  const wall = opts.wall ?? (() => Date.now())
  let lastMonotonic = monotonic()
  let lastWall = wall()
  let suspendedMs = 0
  return () => {
    const nowMonotonic = monotonic()
    const nowWall = wall()
    const excessMs = (nowWall - lastWall) - (nowMonotonic - lastMonotonic)
    if (excessMs > MIN_SUSPENSION_MS) suspendedMs += excessMs
    lastMonotonic = nowMonotonic
    lastWall = nowWall
    return nowMonotonic + suspendedMs
  }
}
