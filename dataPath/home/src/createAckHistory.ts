import { type Freshness, hasReached, laterOf, type LogPosition, ORIGIN } from '@briarpick/types'
import { createAckLowerBound } from './createAckLowerBound.js'

/** Acknowledged positions over time, from which the position that a read must observe is derived. */
export interface AckHistory {
  /**
   * Records a position that is about to be acknowledged, at a time in ms, and how the statement that committed it was sent; absent
   * if that is not known.
   */
  record: (position: LogPosition, now: number, sent?: WriteSending) => void
  /** Sets a position that is at or after everything acknowledged by earlier homes. */
  setFloor: (position: LogPosition) => void
  isFloorKnown: () => boolean
  /** Records that a target left or restarted without its log: what it had received can no longer be asked for. */
  recordCopyLoss: (now: number) => void
  /** Records a new connection to a target, which may have restarted without its log while there was none. */
  recordNewConnection: (now: number) => void
  /**
   * Position at or after everything acknowledged that a target may have confirmed before it lost its log or left; the origin if
   * there is no such thing, undefined while it is not known because the floor was not known at the loss.
   */
  acknowledgedBeforeLoss: () => LogPosition | undefined
  /** Time of the last loss of a target or new connection to one, in ms; -Infinity if there was none. */
  lastLossAt: () => number
  /** Position that the last acknowledged write has at least, as far as this home has acknowledged; the origin if nothing is proven. */
  provenAcknowledged: () => LogPosition
  /** Highest acknowledged position known, the floor included. */
  latest: () => LogPosition
  /** Time of the last recorded position, in ms; -Infinity if there is none. */
  lastRecordedAt: () => number
  /** Position that a read must observe; undefined while the floor is not known. */
  requiredPosition: (freshness: Freshness, now: number) => LogPosition | undefined
  /** Time since a position was acknowledged, in ms; Infinity if no retained sample is at or before it. */
  ageOf: (position: LogPosition, now: number) => number
  /** Time since the first acknowledgement that a log up to `received` lacks, in ms; 0 if it lacks none of the retained ones. */
  missingMs: (received: LogPosition, now: number) => number
}

/** How a statement that commits a write was sent to the primary. */
export interface WriteSending {
  /** Time at which it was sent, in ms. */
  readonly at: number
  /** `latest()` at that time, which the primary's log had reached; undefined if the statement may have committed no write. */
  readonly followed: LogPosition | undefined
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
const UNKNOWN_SENDING: WriteSending = { at: -Infinity, followed: undefined }

/** Age of the oldest data that is used for a read that accepts data of `maxAgeMs`, in ms. */
export function oldestUsedAgeMs (maxAgeMs: number): number {
  return maxAgeMs * MAX_AGE_FRACTION
}

/** Creates a history without a floor. */
export function createAckHistory (): AckHistory {
  let floor: LogPosition | undefined
  let latest = ORIGIN
  let lastRecordedAt = -Infinity
  /** Highest position acknowledged by this home. */
  let recorded = ORIGIN
  let beforeLoss: LogPosition | undefined = ORIGIN
  let lossAt = -Infinity
  let samples: Sample[] = []
  const lowerBound = createAckLowerBound()

  function prune (now: number): void {
    if (samples.length === 0 || now - samples[0].at < 2 * RETENTION_MS) return
    for (const { position, at } of samples) if (now - at > RETENTION_MS) floor = laterOf(floor ?? ORIGIN, position)
    samples = samples.filter(({ at }) => now - at <= RETENTION_MS)
  }

  return {
    record (position, now, sent = UNKNOWN_SENDING) {
      if (sent.followed !== undefined) lowerBound.record(position, sent.followed)
      // A target may have received it before its loss, though the answer arrives after that.
      if (sent.at <= lossAt && beforeLoss !== undefined) beforeLoss = laterOf(beforeLoss, position)
      recorded = laterOf(recorded, position)
      latest = laterOf(latest, position)
      lastRecordedAt = now
      const last = samples.at(-1)
      if (last !== undefined && now - last.at < MERGE_WINDOW_MS) samples[samples.length - 1] = { position: latest, at: last.at }
      else samples.push({ position: latest, at: now })
      prune(now)
    },
    setFloor (position) {
      floor = laterOf(floor ?? ORIGIN, position)
      latest = laterOf(latest, position)
      beforeLoss ??= latest
    },
    isFloorKnown: () => floor !== undefined,
    recordCopyLoss (now) {
      lossAt = now
      beforeLoss = floor === undefined ? undefined : latest
    },
    recordNewConnection (now) {
      lossAt = now
      if (beforeLoss !== undefined) beforeLoss = laterOf(beforeLoss, recorded)
    },
    acknowledgedBeforeLoss: () => beforeLoss,
    lastLossAt: () => lossAt,
    provenAcknowledged: lowerBound.position,
    latest: () => latest,
    lastRecordedAt: () => lastRecordedAt,
    requiredPosition ({ current, maxAgeMs, seen }, now) {
      if (floor === undefined) return undefined
      if (current) return latest
      const cutoff = now - oldestUsedAgeMs(maxAgeMs)
      const old = samples.findLast(({ at }) => at <= cutoff)
      return laterOf(laterOf(floor, old?.position ?? ORIGIN), seen ?? ORIGIN)
    },
    ageOf (position, now) {
      const sample = samples.findLast((candidate) => hasReached(position, candidate.position))
      return sample === undefined ? Infinity : now - sample.at
    },
    missingMs (received, now) {
      const missing = hasReached(received, latest) ? undefined : samples.find(({ position }) => !hasReached(received, position))
      return missing === undefined ? 0 : Math.max(0, now - missing.at)
    },
  }
}
