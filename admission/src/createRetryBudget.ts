/** Limits retries to a fraction of first attempts. */
export interface RetryBudget {
  /** Credits a first attempt. */
  deposit: () => void
  /** Withdraws one retry; false if the budget is exhausted. */
  tryWithdraw: () => boolean
}

/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries per first attempt. */
  readonly ratio: number
  /** Maximum number of retries in the budget. */
  readonly burst: number
}

/** Creates a full budget. */
export function createRetryBudget (opts: RetryBudgetOptions): RetryBudget {
  let available = opts.burst
  return {
    deposit () {
      available = Math.min(opts.burst, available + opts.ratio)
    },
    tryWithdraw () {
      if (available < 1) return false
      available -= 1
      return true
    },
  }
}
