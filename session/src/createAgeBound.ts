import { hasReached, type LogPosition } from '@briarpick/types'

/** Bounds the age of a replica's data, from samples of the primary's position. */
export interface AgeBound {
  /** Records a position that the primary reported at or after `requestedAt`, in ms on a monotonic clock. */
  addSample: (position: LogPosition, requestedAt: number) => void
  /** Upper bound of the age of data at a position, in ms; Infinity if no sample bounds it. */
  ageOf: (position: LogPosition, now: number) => number
}

interface Sample {
  readonly position: LogPosition
  readonly requestedAt: number
}

/** Options of an age bound. */
export interface AgeBoundOptions {
  /** Maximum number of samples; the oldest ones are discarded first. */
  readonly maxSamples: number
}

/** Creates an age bound without samples. */
export function createAgeBound (opts: AgeBoundOptions): AgeBound {
  const samples: Sample[] = []
  return {
    addSample (position, requestedAt) {
      samples.push({ position, requestedAt })
      if (samples.length > opts.maxSamples) samples.shift()
    },
    ageOf (position, now) {
      const reached = samples.findLast((sample) => hasReached(position, sample.position))
      return reached === undefined ? Infinity : now - reached.requestedAt
    },
  }
}
