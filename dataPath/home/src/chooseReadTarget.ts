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
}

/** Freshness that a read requires, and the targets that it must not use. */
export interface FreshnessRequirement {
  readonly required: LogPosition
  /** Time since the required position was acknowledged, in ms; Infinity if that is not known. */
  readonly requiredAgeMs: number
  /** Instances on which this read has already failed. */
  readonly excluded: ReadonlySet<string>
}

/** Maximum expected time until a replica applies the position that a read requires, in ms; beyond it the read goes to the primary. */
export const MAX_APPLY_WAIT_MS = 40

/** Chooses a target with a free slot or, if there is none, one that accepts a statement beyond its slots. */
export function chooseReadTarget (candidates: readonly ReadCandidate[], requirement: FreshnessRequirement): ReadCandidate | undefined {
  const allowed = candidates.filter(({ instance }) => !requirement.excluded.has(instance))
  return chooseByFreshness(allowed.filter(({ isFree }) => isFree), requirement) ??
    chooseByFreshness(allowed.filter(({ canAcquire }) => canAcquire), requirement)
}

/** Prefers a replica that has applied the required position, then one that soon will have, then the primary. */
function chooseByFreshness (available: readonly ReadCandidate[], requirement: FreshnessRequirement): ReadCandidate | undefined {
  const replicas = available.filter((candidate) => !candidate.isPrimary)
  const upToDate = replicas.filter((candidate) => hasReached(candidate.applied, requirement.required))
  return leastLoaded(upToDate) ??
    leastLoaded(replicas.filter((candidate) => catchesUpInTime(candidate, requirement))) ??
    findPrimary(available)
}

/** True if some target can serve the read once it has a free slot. */
export function canServe (candidates: readonly ReadCandidate[], requirement: FreshnessRequirement): boolean {
  return candidates.some((candidate) => !requirement.excluded.has(candidate.instance) &&
    (candidate.isPrimary || hasReached(candidate.applied, requirement.required) || catchesUpInTime(candidate, requirement)))
}

/** A replica applies a position about `lagMs` after its acknowledgement, so the read waits for the remainder of that time. */
function catchesUpInTime ({ lagMs, received }: ReadCandidate, requirement: FreshnessRequirement): boolean {
  if (lagMs - requirement.requiredAgeMs > MAX_APPLY_WAIT_MS) return false
  return hasReached(received, requirement.required) || requirement.requiredAgeMs < Infinity
}

function findPrimary (available: readonly ReadCandidate[]): ReadCandidate | undefined {
  return available.find((candidate) => candidate.isPrimary)
}

function leastLoaded (candidates: readonly ReadCandidate[]): ReadCandidate | undefined {
  return [...candidates].sort((a, b) => a.active / a.slots - b.active / b.slots ||
    Number(b.isLocal) - Number(a.isLocal) || a.lagMs - b.lagMs)[0]
}
