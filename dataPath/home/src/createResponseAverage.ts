/** Moving average of response times, or of their ratios to a usual time. */
export interface ResponseAverage {
  record: (value: number, at: number) => void
  /** The average; undefined before FIRST_RESPONSES responses, and if the newest response is too old. */
  average: (at: number) => number | undefined
  /** Time of the newest response, in ms; -Infinity before the first. */
  recordedAt: () => number
}

/** Responses whose median is the first average: with fewer, one long statement decides it. */
const FIRST_RESPONSES = 8
/** Age of the newest response from which on the average says nothing about the target, in ms. */
const MAX_AGE_MS = 10_000
/** Weight of the newest response. */
const WEIGHT = 0.1
/** Smallest value that is told apart. */
const MIN_VALUE = 0.01

/**
 * Creates an exponentially weighted moving geometric mean. Load pattern: a small share of statements takes many times as long as the
 * others. One that takes seven times as long raises the average by a fifth, as one that takes a seventh lowers it; a target that is
 * eight times slower throughout doubles it within four responses.
 */
export function createResponseAverage (): ResponseAverage {
  const first: number[] = []
  let logarithm: number | undefined
  let recordedAt = -Infinity
  return {
    record (value, at) {
      recordedAt = at
      const sample = Math.log(Math.max(MIN_VALUE, value))
      if (logarithm !== undefined) {
        logarithm += WEIGHT * (sample - logarithm)
        return
      }
      first.push(sample)
      if (first.length === FIRST_RESPONSES) logarithm = first.sort((a, b) => a - b)[(FIRST_RESPONSES - 1) >> 1]
    },
    average: (at) => logarithm === undefined || at - recordedAt > MAX_AGE_MS ? undefined : Math.exp(logarithm),
    recordedAt: () => recordedAt,
  }
}
