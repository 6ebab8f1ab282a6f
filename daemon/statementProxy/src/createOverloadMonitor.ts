import { type Service } from '@briarpick/kernel'

/** Detects that this process gets too little processor time for its work, as on a VM that has become slow. */
export interface OverloadMonitor {
  /** Records that a periodic timer ran `lateMs` late. */
  recordTick: (lateMs: number) => void
  /** Average lateness of the last ticks, in ms, with each counted up to a bound. */
  lateMs: () => number
  /** True if the timers of the last half second or more ran late throughout; a single pause of the process does not count. */
  isOverloaded: () => boolean
}

/** Interval of the timer whose lateness is measured, in ms. */
const TICK_INTERVAL_MS = 50
/** Number of ticks that the average covers. */
const TICKS = 8
/** Upper bound of the lateness counted for one tick, in ms, so that a pause of any length counts like one late tick. */
const MAX_LATE_MS = 150
/** Average lateness from which the process counts as overloaded, in ms: statements then miss their latency targets. */
const OVERLOADED_LATE_MS = 45

/** Creates a monitor without samples. */
export function createOverloadMonitor (): OverloadMonitor {
  let samples: readonly number[] = []
  const lateMs = () => samples.length === 0 ? 0 : samples.reduce((sum, sample) => sum + sample, 0) / samples.length
  return {
    recordTick (tickLateMs) {
      samples = [...samples, Math.min(Math.max(tickLateMs, 0), MAX_LATE_MS)].slice(-TICKS)
    },
    lateMs,
    isOverloaded: () => samples.length === TICKS && lateMs() >= OVERLOADED_LATE_MS,
  }
}

/** Feeds a monitor from a timer of this process, and calls `onTick` after each tick. */
export function startOverloadTimer (monitor: OverloadMonitor, onTick: () => void): Service {
  let lastAt = performance.now()
  const timer = setInterval(() => {
    const now = performance.now()
    monitor.recordTick(now - lastAt - TICK_INTERVAL_MS)
    lastAt = now
    onTick()
  }, TICK_INTERVAL_MS)
  return {
    async close () {
      clearInterval(timer)
    },
  }
}
