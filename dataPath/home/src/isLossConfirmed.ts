import { hasReached, type LogPosition } from '@briarpick/types'
import { type AckHistory } from './createAckHistory.js'

/** A target other than the primary, as its home sees it. */
export interface LossWitness {
  /** True if it answers as a replica. */
  readonly isLiveReplica: boolean
  readonly received: LogPosition
}

/** What the confirmation of a loss is decided from. */
export interface LossInput {
  readonly history: Pick<AckHistory, 'acknowledgedBeforeLoss' | 'isFloorKnown' | 'lastLossAt'>
  /** Time at which the oldest unanswered write was sent, in ms on the home's clock; Infinity if none is unanswered. */
  readonly oldestWriteAt: number
  /** All targets but the primary. */
  readonly others: readonly LossWitness[]
}

/**
 * True if the loss of a target is without effect on what was acknowledged: all other targets but the primary hold all that the lost one may
 * have confirmed. While a write that was sent before the loss is unanswered, that is not known: the answer may rest on the lost target.
 */
export function isLossConfirmed ({ history, oldestWriteAt, others }: LossInput): boolean {
  const before = history.acknowledgedBeforeLoss()
  if (before === undefined || !history.isFloorKnown() || oldestWriteAt <= history.lastLossAt()) return false
  return others.every(({ isLiveReplica, received }) => isLiveReplica && hasReached(received, before))
}
