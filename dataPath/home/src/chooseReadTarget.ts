import { hasReached, type LogPosition } from '@briarpick/types'

/** What is known of a target that could serve a read. */
export interface ReadCandidate {
  readonly instance: string
  readonly isPrimary: boolean
  /** True if it is in the data centre of the home. */
  readonly isNear: boolean
  /** True if it has a free slot. */
  readonly isFree: boolean
  /** True if a statement may be sent to it, ahead of a free slot if need be. */
  readonly mayTake: boolean
  /** Statements at work. */
  readonly active: number
  readonly slots: number
  /** Statements that may be on their way to it at once. */
  readonly capacity: number
  readonly received: LogPosition
  readonly applied: LogPosition
  readonly lagMs: number
}

/** What a read demands. */
export interface ReadNeed {
  readonly required: LogPosition
  /** Time since the required position was acknowledged, in ms. */
  readonly requiredAgeMs: number
  /** Targets that failed this read before. */
  readonly avoid: ReadonlySet<string>
}

/** Longest time that a read may be expected to wait on a replica for its data, in ms; the primary is asked instead beyond it. */
export const MAX_APPLY_WAIT_MS = 40

/** Chooses a target with a free slot or, if there is none, one that takes a statement ahead of one. */
export function chooseReadTarget (candidates: readonly ReadCandidate[], need: ReadNeed): ReadCandidate | undefined {
  const allowed = candidates.filter(({ instance }) => !need.avoid.has(instance))
  return chooseAmong(allowed.filter(({ isFree }) => isFree), need) ?? chooseAmong(allowed.filter(({ mayTake }) => mayTake), need)
}

/** A replica that has the data, one that has it very soon, or the primary. */
function chooseAmong (free: readonly ReadCandidate[], need: ReadNeed): ReadCandidate | undefined {
  const replicas = free.filter((candidate) => !candidate.isPrimary)
  const ready = replicas.filter((candidate) => hasReached(candidate.applied, need.required))
  return leastLoaded(ready) ?? leastLoaded(replicas.filter((candidate) => hasSoon(candidate, need))) ?? sparePrimary(free)
}

/** True if some target may serve the read once it has a free slot. */
export function canEverServe (candidates: readonly ReadCandidate[], need: ReadNeed): boolean {
  return candidates.some((candidate) => !need.avoid.has(candidate.instance) &&
    (candidate.isPrimary || hasReached(candidate.applied, need.required) || hasSoon(candidate, need)))
}

/** A target has a position once it was acknowledged for as long as the target lags: it waits for what is left of that. */
function hasSoon ({ lagMs, received }: ReadCandidate, need: ReadNeed): boolean {
  if (lagMs - need.requiredAgeMs > MAX_APPLY_WAIT_MS) return false
  return hasReached(received, need.required) || need.requiredAgeMs < Infinity
}

function sparePrimary (free: readonly ReadCandidate[]): ReadCandidate | undefined {
  return free.find((candidate) => candidate.isPrimary)
}

function leastLoaded (candidates: readonly ReadCandidate[]): ReadCandidate | undefined {
  return [...candidates].sort((a, b) => a.active / a.slots - b.active / b.slots ||
    Number(b.isNear) - Number(a.isNear) || a.lagMs - b.lagMs)[0]
}
