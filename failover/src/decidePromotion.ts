import { comparePositions, hasReached, type LogPosition, type TargetState } from '@briarpick/types'

/** A target other than the primary, as the home of the database sees it. */
export interface PromotionCandidate {
  readonly instance: string
  readonly state: TargetState
  /** True if it answered recently and reports the role of replica. */
  readonly isLiveReplica: boolean
  /** Highest log position that it had received when its status was read. */
  readonly received: LogPosition
  /** Time at which the status with that position was requested, in ms on the home's clock. */
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
  /** Highest acknowledged log position; undefined if this home does not know it. */
  readonly acknowledged: LogPosition | undefined
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

/**
 * Returns the most advanced serving replica if it is known to hold every acknowledged write, otherwise undefined. A write is
 * acknowledged once one replica has received it. So a replica is safe to promote if it has reached the highest acknowledged
 * position, or if the status of every target but the primary was requested after this home became the only one that
 * acknowledges writes, and none of them is more advanced.
 */
export function choosePromotionTarget (
  { others, acknowledged, homeExclusiveSince, copies }: PromotionInput
): string | undefined {
  const live = others.filter((candidate) => candidate.isLiveReplica)
  const eligible = live.filter(({ state }) => state === 'serving')
  const [mostAdvanced] = [...eligible].sort((a, b) => comparePositions(b.received, a.received))
  if (mostAdvanced === undefined) return undefined
  if (acknowledged !== undefined && hasReached(mostAdvanced.received, acknowledged)) return mostAdvanced.instance
  const queried = live.filter(({ statusRequestedAt }) => statusRequestedAt >= homeExclusiveSince)
  const allQueried = queried.length === others.length && others.length >= copies - 1
  const isMostAdvanced = queried.every(({ received }) => hasReached(mostAdvanced.received, received))
  return allQueried && isMostAdvanced ? mostAdvanced.instance : undefined
}
