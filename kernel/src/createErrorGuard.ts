/** Keeps a daemon running after an unexpected error in one of its callbacks. */
export interface ErrorGuard {
  /** Handles an error that nothing else caught. */
  handle: (err: unknown) => void
  /** Handles the uncaught exceptions and unhandled rejections of this process until `close`. */
  install: () => void
  close: () => void
}

/** Options of an error guard. */
export interface ErrorGuardOptions {
  /** Called for each error, to log and count it. */
  readonly onError: (err: unknown) => void
  /** Called if errors keep coming, so that a restart is better than to go on. */
  readonly onTooMany: (err: unknown) => void
  /** Current time, in ms; `performance.now` if absent. */
  readonly now?: () => number
}

/** Number of errors within `WINDOW_MS` from which on the daemon does not go on. */
const MAX_ERRORS = 20
const WINDOW_MS = 10_000

/**
 * Creates a guard. What failed is lost, such as one connection or one periodic check; all other work goes on. Code that must not go on
 * after an error, as the consensus log, reports it by itself.
 */
export function createErrorGuard (opts: ErrorGuardOptions): ErrorGuard {
  const now = opts.now ?? (() => performance.now())
  let errorTimes: readonly number[] = []

  function handle (err: unknown): void {
    const at = now()
    errorTimes = [...errorTimes.filter((time) => at - time < WINDOW_MS), at]
    opts.onError(err)
    if (errorTimes.length >= MAX_ERRORS) opts.onTooMany(err)
  }

  return {
    handle,
    install () {
      process.on('uncaughtException', handle)
    },
    close () {
      process.off('uncaughtException', handle)
    },
  }
}
