/**
 * Limits the commits in flight while the primary waits for its replicas, for the load of replicas that are down or receive nothing.
 * Such a commit holds a slot of the primary until a replica has received it, so without a limit a few of them stop all reads that
 * only the primary can serve.
 */
export interface CommitLimit {
  /** True if one more commit may be sent to a primary with this number of slots, at a time in ms. */
  hasRoom: (slots: number, now: number) => boolean
  /** Records that a commit is sent, at a time in ms; the result is to be called when it ends, with whether it was answered. */
  track: (now: number) => (answered: boolean, now: number) => void
  /** Forgets the commits of the previous primary. */
  onPrimaryChange: () => void
}

/** Options of a limit. */
export interface CommitLimitOptions {
  /** True if a replica is known to receive what the primary commits: a commit without an answer has rather lost it then. */
  readonly hasReceivingReplica: () => boolean
}

interface PendingCommit {
  readonly sentAt: number
}

/** Time without an answer from which commits count as waiting for a replica, in ms: several times the usual time of one. */
const SLOW_COMMIT_MS = 50

/** Creates a limit for a primary that has answered no commit yet: it gets as few at once as one that waits for its replicas. */
export function createCommitLimit ({ hasReceivingReplica }: CommitLimitOptions): CommitLimit {
  const pending = new Set<PendingCommit>()
  /** Time of the last answer, and when the last commit with an answer was sent, in ms; -Infinity if the primary has answered none. */
  let answeredAt = -Infinity
  let answeredSentAt = -Infinity

  /** Replicas receive commits in order, so one that was sent before an answered one has lost its answer and waits for nothing. */
  function waitingCommits (): readonly PendingCommit[] {
    return [...pending].filter(({ sentAt }) => sentAt >= answeredSentAt)
  }

  return {
    hasRoom (slots, now) {
      const waiting = waitingCommits()
      if (waiting.length === 0 || hasReceivingReplica()) return true
      const isSlow = answeredAt === -Infinity || now - Math.max(waiting[0].sentAt, answeredAt) >= SLOW_COMMIT_MS
      return !isSlow || waiting.length < slots - 1
    },
    track (sentAt) {
      const commit = { sentAt }
      pending.add(commit)
      return (answered, now) => {
        // A commit of the previous primary tells nothing of the present one.
        if (!pending.delete(commit) || !answered) return
        answeredAt = now
        answeredSentAt = Math.max(answeredSentAt, sentAt)
      }
    },
    onPrimaryChange () {
      pending.clear()
      answeredAt = -Infinity
      answeredSentAt = -Infinity
    },
  }
}
