import { hasReached, type LogPosition } from '@briarpick/types'

/** Observed state of a target that could serve a read. */
export interface ReadCandidate {
  readonly instance: string
  readonly isPrimary: boolean
  /** True if it is in the data centre of the home. */
  readonly isLocal: boolean
  /** True if it has a free slot and an idle connection. */
  readonly isFree: boolean
  /** True if a statement can be sent to it now, in a free slot or beyond the slots. */
  readonly canAcquire: boolean
  /** Statements in flight. */
  readonly active: number
  readonly slots: number
  /** Maximum number of statements in flight. */
  readonly capacity: number
  readonly received: LogPosition
  readonly applied: LogPosition
  readonly lagMs: number
  /** Time by which it received acknowledged writes late when last observed, in ms; 0 if none was missing. */
  readonly receiveLagMs: number
  /** Outlier ejection allows no further statement on it; false while nothing is wrong with it. */
  readonly isHeldBack: boolean
  /** Time that a read loses on it compared with the others, in ms; see `OutlierEjection`. */
  readonly extraMs: number
}

/** Freshness that a read requires, and the targets that it must not use. */
export interface FreshnessRequirement {
  readonly required: LogPosition
  /** Time since the required position was acknowledged, in ms; Infinity if that is not known. */
  readonly requiredAgeMs: number
  /** Instances on which this read has already failed. */
  readonly excluded: ReadonlySet<string>
  /** Time for which the read is expected to wait for a slot if it starts nowhere now, in ms; 0 if absent. */
  readonly expectedWaitMs?: () => number
}

/** Maximum expected time until a replica applies the position that a read requires, in ms; beyond it the read goes to the primary. */
export const MAX_APPLY_WAIT_MS = 40
/** Number of ranks by freshness: applied, soon applied, primary. */
const FRESHNESS_RANKS = 3

/**
 * Chooses a target with a free slot or, if there is none, one that accepts a statement beyond its slots. Among those it prefers a
 * replica that has applied the required position, then one that soon will have, then the primary; then the least loaded one. A
 * target that is held back is used if no other can serve the read, or if the read would lose more time waiting for another.
 */
export function chooseReadTarget (candidates: readonly ReadCandidate[], requirement: FreshnessRequirement): ReadCandidate | undefined {
  let chosen: ReadCandidate | undefined
  let chosenRank = Infinity
  let heldBack: ReadCandidate | undefined
  let heldBackRank = Infinity
  for (const candidate of candidates) {
    const rank = rankOf(candidate, requirement)
    if (rank === Infinity) continue
    if (candidate.isHeldBack) {
      if (heldBack === undefined || isBetter(candidate, rank, heldBack, heldBackRank)) {
        heldBack = candidate
        heldBackRank = rank
      }
    } else if (chosen === undefined || isBetter(candidate, rank, chosen, chosenRank)) {
      chosen = candidate
      chosenRank = rank
    }
  }
  if (chosen !== undefined || heldBack === undefined) return chosen
  const canWait = canServe(candidates.filter(({ isHeldBack }) => !isHeldBack), requirement)
  return !canWait || (requirement.expectedWaitMs?.() ?? 0) > heldBack.extraMs ? heldBack : undefined
}

/** Rank by free slots, then by freshness; the lowest is preferred. Infinity if the candidate cannot be used now. */
function rankOf (candidate: ReadCandidate, requirement: FreshnessRequirement): number {
  const { excluded } = requirement
  if (!candidate.canAcquire || (excluded.size > 0 && excluded.has(candidate.instance))) return Infinity
  const slotRank = candidate.isFree ? 0 : FRESHNESS_RANKS
  if (candidate.isPrimary) return slotRank + 2
  if (hasReached(candidate.applied, requirement.required)) return slotRank
  return catchesUpInTime(candidate, requirement) ? slotRank + 1 : Infinity
}

function isBetter (a: ReadCandidate, rankOfA: number, b: ReadCandidate, rankOfB: number): boolean {
  if (rankOfA !== rankOfB) return rankOfA < rankOfB
  const loadDifference = a.active * b.slots - b.active * a.slots
  if (loadDifference !== 0) return loadDifference < 0
  return a.isLocal === b.isLocal ? a.lagMs < b.lagMs : a.isLocal
}

/** True if some target can serve the read once it has a free slot. */
export function canServe (candidates: readonly ReadCandidate[], requirement: FreshnessRequirement): boolean {
  return candidates.some((candidate) => !requirement.excluded.has(candidate.instance) &&
    (candidate.isPrimary || hasReached(candidate.applied, requirement.required) || catchesUpInTime(candidate, requirement)))
}

/**
 * A replica applies a position about `lagMs` after its acknowledgement, so the read waits for the remainder of that time. A replica
 * that receives nothing reports no lag, as it has applied all that it has: what it has not received is later by the receive lag.
 */
function catchesUpInTime ({ lagMs, receiveLagMs, received }: ReadCandidate, requirement: FreshnessRequirement): boolean {
  const isReceived = hasReached(received, requirement.required)
  const delayMs = isReceived ? lagMs : Math.max(lagMs, receiveLagMs)
  if (delayMs - requirement.requiredAgeMs > MAX_APPLY_WAIT_MS) return false
  return isReceived || requirement.requiredAgeMs < Infinity
}
