import { type Freshness, hasReached, laterOf, type LogPosition, ORIGIN } from '@briarpick/types'

/** Acknowledged positions over time, from which the position that a read must observe is derived. */
export interface AckHistory {
  /** Records a position that is about to be acknowledged, at a time in ms. */
  record: (position: LogPosition, now: number) => void
  /** Sets a position that is at or after everything acknowledged by earlier homes. */
  setFloor: (position: LogPosition) => void
  isFloorKnown: () => boolean
  /** Highest acknowledged position known, the floor included. */
  latest: () => LogPosition
  /** Position that a read must observe; undefined while the floor is not known. */
  requiredPosition: (freshness: Freshness, now: number) => LogPosition | undefined
  /** Time since a position was acknowledged, in ms; Infinity if no retained sample is at or before it. */
  ageOf: (position: LogPosition, now: number) => number
}

interface Sample {
  readonly position: LogPosition
  readonly at: number
}

/** Fraction of the allowed age that is used. Positions are recorded before they are acknowledged, so the margin only covers clock drift. */
const MAX_AGE_FRACTION = 0.9
/** Samples within this time of the last one are merged into it, in ms. */
const MERGE_WINDOW_MS = 10
/** Age beyond which samples are merged into the floor, in ms; longer than any allowed age in use. */
const RETENTION_MS = 30_000

/** Creates a history without a floor. */
export function createAckHistory (): AckHistory {
  let floor: LogPosition | undefined
  let latest = ORIGIN
  let samples: Sample[] = []

  function prune (now: number): void {
    if (samples.length === 0 || now - samples[0].at < 2 * RETENTION_MS) return
    for (const { position, at } of samples) if (now - at > RETENTION_MS) floor = laterOf(floor ?? ORIGIN, position)
    samples = samples.filter(({ at }) => now - at <= RETENTION_MS)
  }

  return {
    record (position, now) {
      latest = laterOf(latest, position)
      const last = samples.at(-1)
      if (last !== undefined && now - last.at < MERGE_WINDOW_MS) samples[samples.length - 1] = { position: latest, at: last.at }
      else samples.push({ position: latest, at: now })
      prune(now)
    },
    setFloor (position) {
      floor = laterOf(floor ?? ORIGIN, position)
      latest = laterOf(latest, position)
    },
    isFloorKnown: () => floor !== undefined,
    latest: () => latest,
    requiredPosition ({ current, maxAgeMs, seen }, now) {
      if (floor === undefined) return undefined
      if (current) return latest
      const cutoff = now - maxAgeMs * MAX_AGE_FRACTION
      const old = samples.findLast(({ at }) => at <= cutoff)
      return laterOf(laterOf(floor, old?.position ?? ORIGIN), seen ?? ORIGIN)
    },
    ageOf (position, now) {
      const sample = samples.findLast((candidate) => hasReached(position, candidate.position))
      return sample === undefined ? Infinity : now - sample.at
    },
  }
}
