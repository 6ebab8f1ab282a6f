import { comparePositions, type LogPosition } from '@briarpick/types'

/** A candidate for the in-sync set. */
export interface InSyncCandidate {
  readonly instance: string
  readonly usable: boolean
  readonly position: LogPosition
}

/**
 * Chooses up to `wanted` replicas that must have received a write before it is acknowledged. Prefers usable members of the
 * current set, then the most advanced of the other usable replicas; returns their names in alphabetical order.
 */
export function chooseInSync (candidates: readonly InSyncCandidate[], current: readonly string[], wanted: number): readonly string[] {
  const usable = candidates.filter((candidate) => candidate.usable)
  const isCurrent = (candidate: InSyncCandidate) => current.includes(candidate.instance)
  return [...usable]
    .sort((a, b) => Number(isCurrent(b)) - Number(isCurrent(a)) || comparePositions(b.position, a.position))
    .slice(0, wanted)
    .map((candidate) => candidate.instance)
    .sort()
}

/** Returns the candidate with the highest log position; undefined if there are no candidates. */
export function mostAdvancedOf (candidates: readonly InSyncCandidate[]): InSyncCandidate | undefined {
  return [...candidates].sort((a, b) => comparePositions(b.position, a.position))[0]
}
