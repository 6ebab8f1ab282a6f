/**
 * Limits the commits in flight while the primary waits for its replicas, for the load of replicas that lag, are down or are cut off
 * from it. Such a commit holds a slot of the primary until a replica has received it, so without a limit a few of them stop all
 * reads that only the primary can serve.
 */
export interface CommitLimit {
  /** True if one more commit may be sent to a primary with this number of slots. */
  hasRoom: (slots: number, now: number) => boolean
  /** Records that a commit is sent, at a time in ms; the result is to be called when it ends, with whether it was answered. */
  track: (now: number) => (answered: boolean, now: number) => void
  /** Forgets the answers of the previous primary. */
  onPrimaryChange: () => void
}

/** Time without an answer from which commits count as waiting for a replica, in ms: several times the usual time of one. */
const SLOW_COMMIT_MS = 50

/** Creates a limit for a primary that has answered no commit yet: it gets as few at once as one that waits for its replicas. */
export function createCommitLimit (): CommitLimit {
  const pending = new Set<{ readonly at: number }>()
  let hasAnswered = false
  let answeredAt = -Infinity
  /** Time at which the last commit with an answer was sent, in ms. */
  let lastAnsweredSentAt = -Infinity

  /** Replicas receive commits in order, so one that was sent before an answered one has lost its answer and waits for nothing. */
  function waiting (): ReadonlyArray<{ readonly at: number }> {
    return [...pending].filter(({ at }) => at >= lastAnsweredSentAt)
  }

  return {
    hasRoom (slots, now) {
      const waits = waiting()
      if (waits.length === 0) return true
      const isSlow = !hasAnswered || now - Math.max(waits[0].at, answeredAt) >= SLOW_COMMIT_MS
      return !isSlow || waits.length < slots - 1
    },
    track (at) {
      const commit = { at }
      pending.add(commit)
      return (answered, now) => {
        pending.delete(commit)
        if (!answered) return
        hasAnswered = true
        answeredAt = now
        lastAnsweredSentAt = Math.max(lastAnsweredSentAt, at)
      }
    },
    onPrimaryChange () {
      hasAnswered = false
    },
  }
}
