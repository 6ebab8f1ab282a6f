/** Bounds what is sent again to a part of what is sent. */
export interface RetryBudget {
  /** Notes a first attempt. */
  earn: () => void
  /** Takes one retry; false if there is none left. */
  spend: () => boolean
}

/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries for each first attempt. */
  readonly ratio: number
  /** Most retries saved up. */
  readonly burst: number
}

/** Creates a full budget. */
export function createRetryBudget (opts: RetryBudgetOptions): RetryBudget {
  let left = opts.burst
  return {
    earn () {
      left = Math.min(opts.burst, left + opts.ratio)
    },
    spend () {
      if (left < 1) return false
      left -= 1
      return true
    },
  }
}
