import { comparePositions, hasReached, type LogPosition, type TargetState } from '@briarpick/types'

/** A target other than the primary, as the home of the database sees it. */
export interface PromotionCandidate {
  readonly instance: string
  readonly state: TargetState
  /** True if it answered recently and reports the role of replica. */
  readonly isLiveReplica: boolean
  /** Highest log position that it had received when its status was read. */
  readonly received: LogPosition
  /**
   * Time at which the status with that position was requested, in ms on the home's clock; -Infinity if the connection over which
   * it was read has closed since, as the target may have restarted without its log.
   */
  readonly statusRequestedAt: number
}

/** The health of the primary, as the home of the database sees it. */
export interface PrimaryHealth {
  readonly instance: string
  readonly state: TargetState
  /** Time since its last answer, in ms. */
  readonly silentMs: number
  /** Time for which it has refused connections, in ms; 0 if it accepts them. */
  readonly refusedMs: number
  /** True if it answers, but as a replica or as the primary of an earlier term. */
  readonly isDemoted: boolean
  /** Age of the oldest write not yet acknowledged, in ms; 0 if there is none. */
  readonly stuckMs: number
  /** Time for which more work has been queued than it can serve while no replica could serve any, in ms; absent or 0 if that is not so. */
  readonly starvedMs?: number
}

/** Input of a promotion decision. */
export interface PromotionInput {
  readonly primary: PrimaryHealth | undefined
  /** All other targets of the database. */
  readonly others: readonly PromotionCandidate[]
  /** Log position at or after every acknowledged write; undefined if this home does not know one. */
  readonly acknowledged: LogPosition | undefined
  /** Log position that the last write acknowledged by this home has at least; the origin if nothing is proven. */
  readonly provenAcknowledged: LogPosition
  /** Time of this home's last acknowledgement of a write, in ms on its clock; -Infinity if there was none. */
  readonly lastAcknowledgedAt: number
  /**
   * Log position at or after every write acknowledged before a target last left the database or restarted without its log, as
   * far as this home saw: what that target had received can no longer be asked for. Undefined if this home does not know one.
   */
  readonly acknowledgedBeforeLoss: LogPosition | undefined
  /** Time from which only this home could acknowledge writes, in ms on the home's clock. */
  readonly homeExclusiveSince: number
  /** Number of targets of the database at full strength, the primary included. */
  readonly copies: number
}

/** Time limits after which a primary is replaced, in ms. */
export interface PromotionPolicy {
  readonly refusedAfterMs: number
  readonly silentAfterMs: number
  readonly stuckAfterMs: number
  /** Absent: a starved primary is not replaced. */
  readonly starvedAfterMs?: number
}

/**
 * Why a primary is replaced. A `starved` primary is healthy but overloaded, and its replicas lag too far to serve reads.
 * Replacing it helps, since a replica that lags far behind has all data at once when it becomes primary.
 */
export type ReplacementReason = 'leaving' | 'refused' | 'silent' | 'demoted' | 'stuck' | 'starved'

/** The outcome of a promotion decision. */
export type PromotionDecision =
  | { readonly kind: 'keep' }
  /** The primary is to be replaced, but no target that could replace it is known to hold every acknowledged write. */
  | { readonly kind: 'wait', readonly loss: ReplacementReason }
  | { readonly kind: 'promote', readonly loss: ReplacementReason, readonly heir: string }

/** Decides whether the primary is replaced, and by which target. */
export function decidePromotion (input: PromotionInput, policy: PromotionPolicy): PromotionDecision {
  const loss = findReplacementReason(input, policy)
  if (loss === undefined) return { kind: 'keep' }
  const heir = choosePromotionTarget(input)
  return heir === undefined ? { kind: 'wait', loss } : { kind: 'promote', loss, heir }
}

function findReplacementReason ({ primary }: PromotionInput, policy: PromotionPolicy): ReplacementReason | undefined {
  if (primary === undefined) return 'silent'
  if (primary.isDemoted) return 'demoted'
  if (primary.refusedMs >= policy.refusedAfterMs) return 'refused'
  if (primary.silentMs >= policy.silentAfterMs) return 'silent'
  if (primary.stuckMs >= policy.stuckAfterMs) return 'stuck'
  if (primary.state === 'leaving') return 'leaving'
  return (primary.starvedMs ?? 0) >= (policy.starvedAfterMs ?? Infinity) ? 'starved' : undefined
}

/** Returns the most advanced serving replica if it is known to hold every acknowledged write, otherwise undefined. */
export function choosePromotionTarget (input: PromotionInput): string | undefined {
  const eligible = input.others.filter((candidate) => candidate.state === 'serving' && isAsked(candidate))
  const [mostAdvanced] = [...eligible].sort((a, b) => comparePositions(b.received, a.received))
  return mostAdvanced !== undefined && holdsAllAcknowledged(mostAdvanced, input) ? mostAdvanced.instance : undefined
}

/**
 * Chooses the replica that is promoted to raise the platform's term while an instance leads in a term below the view's: the most advanced
 * one that has received all that the leader has. The leader was chosen as holding every acknowledged write, and no home has had writes
 * run there.
 */
export function chooseTermRaiser (leader: LogPosition, others: readonly PromotionCandidate[]): string | undefined {
  const eligible = others.filter((candidate) => candidate.state === 'serving' && isAsked(candidate) && hasReached(candidate.received, leader))
  return [...eligible].sort((a, b) => comparePositions(b.received, a.received))[0]?.instance
}

/**
 * True if the replica is known to hold every acknowledged write. A write is acknowledged only after some target other than the
 * primary has received it. So a replica holds them all if it has reached a position at or after all of them, or if every target
 * but the primary was asked for its position after the last acknowledgement, none is more advanced, and none of those that
 * could have confirmed a write is gone. Whatever targets are known, a replica below a position that is proven to be acknowledged lacks a
 * write: a target that this home does not know has confirmed it.
 */
export function holdsAllAcknowledged (candidate: PromotionCandidate, input: PromotionInput): boolean {
  const { acknowledged, provenAcknowledged } = input
  if (!isAsked(candidate) || !hasReached(candidate.received, provenAcknowledged)) return false
  return (acknowledged !== undefined && hasReached(candidate.received, acknowledged)) || isMostAdvancedOfAll(candidate, input)
}

/** True if its position is known, and from the connection that is still open. */
function isAsked ({ isLiveReplica, statusRequestedAt }: PromotionCandidate): boolean {
  return isLiveReplica && statusRequestedAt !== -Infinity
}

/** True if no target but the primary can hold an acknowledged write that the candidate lacks. */
function isMostAdvancedOfAll (candidate: PromotionCandidate, input: PromotionInput): boolean {
  const { others, homeExclusiveSince, lastAcknowledgedAt, acknowledgedBeforeLoss, copies } = input
  const askedSince = Math.max(homeExclusiveSince, lastAcknowledgedAt)
  const isBehindCandidate = (other: PromotionCandidate) =>
    isAsked(other) && other.statusRequestedAt >= askedSince && !isEmpty(other.received) && hasReached(candidate.received, other.received)
  return others.length >= copies - 1 && others.every(isBehindCandidate) &&
    acknowledgedBeforeLoss !== undefined && hasReached(candidate.received, acknowledgedBeforeLoss)
}

/** True for the position of a target without any record: it may have restarted without the log that it had. */
function isEmpty ({ offset }: LogPosition): boolean {
  return offset === 0
}
