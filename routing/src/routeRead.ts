import { hasReached, type LogPosition } from '@briarpick/types'

/** What a home knows of a target when it routes. */
export interface RouteCandidate {
  readonly instance: string
  readonly isPrimary: boolean
  /** Answers, serves, and is in a term that may be used. */
  readonly usable: boolean
  readonly hasFreeSlot: boolean
  readonly position: LogPosition
  /** Statements at work. */
  readonly active: number
  readonly sameDataCentre: boolean
}

/** What a read demands. */
export interface ReadNeed {
  readonly watermark: LogPosition
  /** Oldest data that the read accepts, in ms; absent if only the watermark counts. */
  readonly maxAgeMs?: number
  /** Time that the read has waited, in ms. */
  readonly waitedMs: number
}

/** Options of routing. */
export interface RouteOptions {
  /** How long a read waits for a replica before it takes the primary, in ms. */
  readonly replicaWaitMs: number
  /** Upper bound of the age of data at a position, in ms. */
  readonly ageOf: (position: LogPosition) => number
}

/** Where a read goes, or what it waits for. */
export type ReadRoute =
  | { readonly kind: 'target', readonly instance: string }
  | { readonly kind: 'wait', readonly forWhat: 'position' | 'slot' | 'primary' }

/** Chooses the target of a read: a replica that has what the read must see, else, after a short wait, the primary. */
export function routeRead (candidates: readonly RouteCandidate[], need: ReadNeed, opts: RouteOptions): ReadRoute {
  const replicas = candidates.filter((candidate) => !candidate.isPrimary && candidate.usable)
  const fresh = replicas.filter((candidate) => isFresh(candidate, need, opts))
  const best = leastLoaded(fresh.filter((candidate) => candidate.hasFreeSlot))
  if (best !== undefined) return { kind: 'target', instance: best.instance }
  if (replicas.length > 0 && need.waitedMs < opts.replicaWaitMs) {
    return { kind: 'wait', forWhat: fresh.length > 0 ? 'slot' : 'position' }
  }
  const primary = candidates.find((candidate) => candidate.isPrimary && candidate.usable)
  if (primary === undefined) return { kind: 'wait', forWhat: fresh.length > 0 ? 'slot' : 'primary' }
  return primary.hasFreeSlot ? { kind: 'target', instance: primary.instance } : { kind: 'wait', forWhat: 'slot' }
}

function isFresh (candidate: RouteCandidate, need: ReadNeed, opts: RouteOptions): boolean {
  if (!hasReached(candidate.position, need.watermark)) return false
  return need.maxAgeMs === undefined || opts.ageOf(candidate.position) <= need.maxAgeMs
}

function leastLoaded (candidates: readonly RouteCandidate[]): RouteCandidate | undefined {
  return [...candidates].sort((a, b) => a.active - b.active || Number(b.sameDataCentre) - Number(a.sameDataCentre))[0]
}
