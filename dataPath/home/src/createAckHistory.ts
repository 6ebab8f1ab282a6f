import { type Freshness, hasReached, laterOf, type LogPosition, ORIGIN } from '@briarpick/types'

/** Knows which position each kind of read must see. */
export interface AckHistory {
  /** Notes a position that is about to be acknowledged, at a time in ms. */
  note: (position: LogPosition, now: number) => void
  /** Everything acknowledged before this home knew is at or before the position. */
  setFloor: (position: LogPosition) => void
  isFloorKnown: () => boolean
  /** Highest position acknowledged by any home. */
  latest: () => LogPosition
  /** Position that a read must see; undefined while the floor is not known. */
  required: (freshness: Freshness, now: number) => LogPosition | undefined
  /** Time since a position was acknowledged, in ms; Infinity for the floor. */
  ageOf: (position: LogPosition, now: number) => number
}

interface Sample {
  readonly position: LogPosition
  readonly at: number
}

/** Part of the allowed age that is used; positions are noted before callers are told, so the rest is for clocks of unlike rates. */
const AGE_PART = 0.9
/** Samples closer together than this are merged, in ms. */
const MERGE_MS = 10
/** Samples older than this are folded into the floor, in ms; beyond any allowed age in use. */
const KEEP_MS = 30_000

/** Creates a history without a floor. */
export function createAckHistory (): AckHistory {
  let floor: LogPosition | undefined
  let latest = ORIGIN
  let samples: Sample[] = []

  function prune (now: number): void {
    if (samples.length === 0 || now - samples[0].at < 2 * KEEP_MS) return
    for (const { position, at } of samples) if (now - at > KEEP_MS) floor = laterOf(floor ?? ORIGIN, position)
    samples = samples.filter(({ at }) => now - at <= KEEP_MS)
  }

  return {
    note (position, now) {
      latest = laterOf(latest, position)
      const last = samples.at(-1)
      if (last !== undefined && now - last.at < MERGE_MS) samples[samples.length - 1] = { position: latest, at: last.at }
      else samples.push({ position: latest, at: now })
      prune(now)
    },
    setFloor (position) {
      floor = laterOf(floor ?? ORIGIN, position)
      latest = laterOf(latest, position)
    },
    isFloorKnown: () => floor !== undefined,
    latest: () => latest,
    required ({ current, maxAgeMs, seen }, now) {
      if (floor === undefined) return undefined
      if (current) return latest
      const since = now - maxAgeMs * AGE_PART
      const old = samples.findLast(({ at }) => at <= since)
      return laterOf(laterOf(floor, old?.position ?? ORIGIN), seen ?? ORIGIN)
    },
    ageOf (position, now) {
      const sample = samples.findLast((candidate) => hasReached(position, candidate.position))
      return sample === undefined ? Infinity : now - sample.at
    },
  }
}
