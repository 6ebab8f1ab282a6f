import { hasReached, type LogPosition } from '@briarpick/types'

/** State of a target at the time of routing. */
export interface RouteCandidate {
  readonly instance: string
  readonly isPrimary: boolean
  /** True if the target responds, serves requests, and is in a term that may be used. */
  readonly usable: boolean
  readonly hasFreeSlot: boolean
  readonly position: LogPosition
  /** Number of statements in flight. */
  readonly active: number
  readonly sameDataCentre: boolean
}

/** Requirements of a read. */
export interface ReadRequirements {
  readonly watermark: LogPosition
  /** Maximum age of the data, in ms; absent if only the watermark applies. */
  readonly maxAgeMs?: number
  /** Time that the read has already waited, in ms. */
  readonly waitedMs: number
}

/** Options of routing. */
export interface RouteOptions {
  /** Time that a read waits for a replica before it falls back to the primary, in ms. */
  readonly replicaWaitMs: number
  /** Upper bound of the age of data at a position, in ms. */
  readonly ageOf: (position: LogPosition) => number
}

/** The target of a read, or what the read has to wait for. */
export type ReadRoute =
  | { readonly kind: 'target', readonly instance: string }
  | { readonly kind: 'wait', readonly waitFor: 'position' | 'slot' | 'primary' }

/** Chooses the target of a read: the least loaded replica that is fresh enough or, after `replicaWaitMs`, the primary. */
export function routeRead (candidates: readonly RouteCandidate[], requirements: ReadRequirements, opts: RouteOptions): ReadRoute {
  const replicas = candidates.filter((candidate) => !candidate.isPrimary && candidate.usable)
  const fresh = replicas.filter((candidate) => isFresh(candidate, requirements, opts))
  const best = leastLoaded(fresh.filter((candidate) => candidate.hasFreeSlot))
  if (best !== undefined) return { kind: 'target', instance: best.instance }
  if (replicas.length > 0 && requirements.waitedMs < opts.replicaWaitMs) {
    return { kind: 'wait', waitFor: fresh.length > 0 ? 'slot' : 'position' }
  }
  const primary = candidates.find((candidate) => candidate.isPrimary && candidate.usable)
  if (primary === undefined) return { kind: 'wait', waitFor: fresh.length > 0 ? 'slot' : 'primary' }
  return primary.hasFreeSlot ? { kind: 'target', instance: primary.instance } : { kind: 'wait', waitFor: 'slot' }
}

function isFresh (candidate: RouteCandidate, requirements: ReadRequirements, opts: RouteOptions): boolean {
  if (!hasReached(candidate.position, requirements.watermark)) return false
  return requirements.maxAgeMs === undefined || opts.ageOf(candidate.position) <= requirements.maxAgeMs
}

function leastLoaded (candidates: readonly RouteCandidate[]): RouteCandidate | undefined {
  return [...candidates].sort((a, b) => a.active - b.active || Number(b.sameDataCentre) - Number(a.sameDataCentre))[0]
}
