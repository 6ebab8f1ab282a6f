import { hasReached, type LogPosition } from '@briarpick/types'

/** Proves how old a replica's data can be, from samples of the primary's position. */
export interface AgeProof {
  /** Notes where the primary was at or after a time, in ms. */
  sample: (position: LogPosition, askedAt: number) => void
  /** Upper bound of the age of data at a position, in ms; Infinity if there is no proof. */
  ageOf: (position: LogPosition, now: number) => number
}

interface Sample {
  readonly position: LogPosition
  readonly askedAt: number
}

/** Options of an age proof. */
export interface AgeProofOptions {
  /** Samples kept; the oldest one goes first. */
  readonly maxSamples: number
}

/** Creates a proof without samples. */
export function createAgeProof (opts: AgeProofOptions): AgeProof {
  const samples: Sample[] = []
  return {
    sample (position, askedAt) {
      samples.push({ position, askedAt })
      if (samples.length > opts.maxSamples) samples.shift()
    },
    ageOf (position, now) {
      const reached = samples.findLast((sample) => hasReached(position, sample.position))
      return reached === undefined ? Infinity : now - reached.askedAt
    },
  }
}
