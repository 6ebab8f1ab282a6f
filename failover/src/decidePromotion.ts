import { comparePositions, hasReached, type LogPosition, type TargetState } from '@briarpick/types'

/** What a home knows of one target when it judges its primary. */
export interface PromotionCandidate {
  readonly instance: string
  readonly state: TargetState
  /** True if it answered lately and says that it is a replica. */
  readonly isLiveReplica: boolean
  /** Position received, as of `statusAskedAt`. */
  readonly received: LogPosition
  /** When the status that gave the position was asked for, in ms. */
  readonly statusAskedAt: number
}

/** What a home knows of its primary; undefined fields are not known. */
export interface PrimaryHealth {
  readonly instance: string
  readonly state: TargetState
  /** Time without any answer, in ms. */
  readonly silentMs: number
  /** Time for which connections have been refused, in ms; 0 if they are not. */
  readonly refusedMs: number
  /** True if it answers and says that it is no primary, or one of an earlier term. */
  readonly isDemoted: boolean
  /** Age of the oldest write that waits for its acknowledgement, in ms; 0 if there is none. */
  readonly stuckMs: number
  /** Time for which more work waited than it can serve while no replica could take any; absent or 0 if none did. */
  readonly starvedMs?: number
}

/** All that the decision rests on. */
export interface PromotionInput {
  readonly primary: PrimaryHealth | undefined
  /** All other targets of the database. */
  readonly others: readonly PromotionCandidate[]
  /** Highest position that was acknowledged; undefined if this home does not know it. */
  readonly acknowledged: LogPosition | undefined
  /** Time from which this home alone could acknowledge writes, in ms. */
  readonly homeExclusiveSince: number
  /** Copies that the database has when it is whole. */
  readonly copies: number
}

/** Timing of the decision, in ms. */
export interface PromotionPolicy {
  readonly refusedAfterMs: number
  readonly silentAfterMs: number
  readonly stuckAfterMs: number
  /** Never if absent. */
  readonly starvedAfterMs?: number
}

/** Why a primary is to be replaced. A starved one is well: a replica that is far behind has all data at once if it leads. */
export type ReplacementReason = 'leaving' | 'refused' | 'silent' | 'demoted' | 'stuck' | 'starved'

/** What to do about the primary. */
export type PromotionDecision =
  | { readonly kind: 'keep' }
  /** It is lost, and no other target is known to hold every acknowledged write. */
  | { readonly kind: 'wait', readonly loss: ReplacementReason }
  | { readonly kind: 'promote', readonly loss: ReplacementReason, readonly heir: string }

/** Decides whether the primary is to be replaced, and by whom. */
export function decidePromotion (input: PromotionInput, policy: PromotionPolicy): PromotionDecision {
  const loss = lossOf(input, policy)
  if (loss === undefined) return { kind: 'keep' }
  const heir = choosePromotionTarget(input)
  return heir === undefined ? { kind: 'wait', loss } : { kind: 'promote', loss, heir }
}

function lossOf ({ primary }: PromotionInput, policy: PromotionPolicy): ReplacementReason | undefined {
  if (primary === undefined) return 'silent'
  if (primary.isDemoted) return 'demoted'
  if (primary.refusedMs >= policy.refusedAfterMs) return 'refused'
  if (primary.silentMs >= policy.silentAfterMs) return 'silent'
  if (primary.stuckMs >= policy.stuckAfterMs) return 'stuck'
  if (primary.state === 'leaving') return 'leaving'
  return (primary.starvedMs ?? 0) >= (policy.starvedAfterMs ?? Infinity) ? 'starved' : undefined
}

/**
 * Chooses the target that holds every acknowledged write, the furthest one first. A write is acknowledged once one replica has
 * received it. So a target is safe if it holds the highest position acknowledged, or if every other copy has been asked
 * since this home alone acknowledges, and none is further.
 */
export function choosePromotionTarget (
  { others, acknowledged, homeExclusiveSince, copies }: PromotionInput
): string | undefined {
  const live = others.filter((candidate) => candidate.isLiveReplica)
  const staying = live.filter(({ state }) => state === 'serving')
  const [furthest] = [...staying].sort((a, b) => comparePositions(b.received, a.received))
  if (furthest === undefined) return undefined
  if (acknowledged !== undefined && hasReached(furthest.received, acknowledged)) return furthest.instance
  const asked = live.filter(({ statusAskedAt }) => statusAskedAt >= homeExclusiveSince)
  const allAsked = asked.length === others.length && others.length >= copies - 1
  const isFurthest = asked.every(({ received }) => hasReached(furthest.received, received))
  return allAsked && isFurthest ? furthest.instance : undefined
}
