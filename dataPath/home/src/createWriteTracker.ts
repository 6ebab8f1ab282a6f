import { type CommitLimit, createCommitLimit } from './createCommitLimit.js'
import { STUCK_AFTER_MS } from './createPrimaryMonitor.js'
import { createWriteProgress } from './createWriteProgress.js'

/** The writes of a home that were sent to the primary and have no response yet. */
export interface WriteTracker extends Pick<CommitLimit, 'onPrimaryChange'> {
  /** Records that a write is sent, and whether it commits at once; the result is to be called at its end, with whether it was answered. */
  track: (commits: boolean) => (answered: boolean) => void
  /** Time for which writes have been waiting with no write answered, in ms; 0 if none waits. */
  stuckMs: () => number
  /** True if the primary has answered no write since one waited for very long; see `createWriteProgress`. */
  isStalled: () => boolean
  /** True while a write, or the COMMIT of a transaction with writes, waits for its response. */
  hasPending: () => boolean
  /** Time at which the oldest write without a response was sent, in ms; Infinity if none waits. */
  oldestSentAt: () => number
  /** True if one more commit may be sent to a primary with this number of slots now; see `createCommitLimit`. */
  hasCommitRoom: (slots: number) => boolean
}

/** Options of a write tracker. */
export interface WriteTrackerOptions {
  readonly now: () => number
  /** True if a replica is known to receive what the primary commits. */
  readonly hasReceivingReplica: () => boolean
}

/** Creates a tracker without writes. */
export function createWriteTracker ({ now, hasReceivingReplica }: WriteTrackerOptions): WriteTracker {
  const progress = createWriteProgress()
  const commitLimit = createCommitLimit({ hasReceivingReplica })
  return {
    track (commits) {
      const onEnded = progress.track(now())
      const onCommitEnded = commits ? commitLimit.track(now()) : undefined
      return (answered) => {
        onEnded(answered, now())
        onCommitEnded?.(answered, now())
      }
    },
    stuckMs: () => progress.stuckMs(now()),
    isStalled: () => progress.isStalled(now(), STUCK_AFTER_MS),
    hasPending: progress.hasPending,
    oldestSentAt: progress.oldestSentAt,
    hasCommitRoom: (slots) => commitLimit.hasRoom(slots, now()),
    onPrimaryChange: commitLimit.onPrimaryChange,
  }
}
