/** Estimates for a request that would have to be queued; times in ms. */
export interface AdmissionInput {
  /** Time to its deadline. */
  readonly remainingMs: number
  /** Time within which it must start to meet its latency target; 0 or less if it will miss that in any case. */
  readonly slackMs: number
  /** Expected wait in the queue. */
  readonly expectedWaitMs: number
}

/** Largest expected wait, as a fraction of the time to the deadline; the remainder is for the execution. */
const DEADLINE_FRACTION = 0.5
/** Largest expected wait, as a fraction of the slack; less than one half, at which the queue counts as overloaded and switches to LIFO. */
const SLACK_FRACTION = 0.35

/**
 * True if a request should be queued. A request that can meet its latency target is admitted only if it is expected to meet it.
 * Under overload, slots then serve requests that are on time, and a rejected caller can retry sooner than after a futile wait.
 */
export function shouldAdmit (input: AdmissionInput): boolean {
  return input.expectedWaitMs <= maxAdmittedWaitMs(input)
}

/** Largest expected wait with which a request is queued, in ms. */
export function maxAdmittedWaitMs ({ remainingMs, slackMs }: Omit<AdmissionInput, 'expectedWaitMs'>): number {
  const byDeadlineMs = remainingMs * DEADLINE_FRACTION
  return slackMs <= 0 ? byDeadlineMs : Math.min(byDeadlineMs, slackMs * SLACK_FRACTION)
}
