/** Shares the time of the event loop between callers that send much at once. */
export interface Turns {
  /** Runs `work` at once if this turn of the event loop has time left, otherwise in a later turn, in order. */
  run: (work: () => void) => void
  /** Resolves in a later turn, in order. */
  next: () => Promise<void>
}

/**
 * Time that all work of a turn takes, in ms; the last piece of it may take longer. Few connections are accepted in a turn, so long turns
 * keep newcomers out.
 */
const MAX_TURN_MS = 2
/** Number of those who wait for a turn that go on in one. */
const MAX_RESUMED = 8

/** Creates turns for which nobody waits. */
export function createTurns (): Turns {
  const waitingWork: Array<() => void> = []
  const waiting: Array<() => void> = []
  let turnEndsAt = 0
  let isScheduled = false

  function schedule (): void {
    if (isScheduled) return
    isScheduled = true
    setImmediate(begin)
  }

  function begin (): void {
    isScheduled = false
    turnEndsAt = performance.now() + MAX_TURN_MS
    for (const resume of waiting.splice(0, MAX_RESUMED)) resume()
    while (waitingWork.length > 0 && performance.now() < turnEndsAt) waitingWork.shift()?.()
    if (waiting.length > 0 || waitingWork.length > 0) schedule()
  }

  return {
    run (work) {
      const now = performance.now()
      if (!isScheduled) turnEndsAt = now + MAX_TURN_MS
      schedule()
      if (waitingWork.length === 0 && now < turnEndsAt) work()
      else waitingWork.push(work)
    },
    next: () => new Promise((resolve) => {
      waiting.push(resolve)
      schedule()
    }),
  }
}
