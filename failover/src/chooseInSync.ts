import { comparePositions, type LogPosition } from '@briarpick/types'

/** A replica as a candidate for the in-sync set. */
export interface InSyncCandidate {
  readonly instance: string
  readonly usable: boolean
  readonly position: LogPosition
}

/** Chooses which replicas must hold a write before it is acknowledged: those that are in the set and usable, then the furthest. */
export function chooseInSync (candidates: readonly InSyncCandidate[], current: readonly string[], wanted: number): readonly string[] {
  const usable = candidates.filter((candidate) => candidate.usable)
  const isCurrent = (candidate: InSyncCandidate) => current.includes(candidate.instance)
  return [...usable]
    .sort((a, b) => Number(isCurrent(b)) - Number(isCurrent(a)) || comparePositions(b.position, a.position))
    .slice(0, wanted)
    .map((candidate) => candidate.instance)
    .sort()
}

/** The furthest of the candidates; undefined if there is none. */
export function mostAdvancedOf (candidates: readonly InSyncCandidate[]): InSyncCandidate | undefined {
  return [...candidates].sort((a, b) => comparePositions(b.position, a.position))[0]
}
