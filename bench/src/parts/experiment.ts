/** A performance requirement and the value that an experiment measured for it. */
export interface AimResult {
  readonly aim: string
  readonly limit: string
  readonly measured: string
  readonly held: boolean
}

/** Result of an experiment; `data` must be serializable as JSON. */
export interface ExperimentResult {
  readonly name: string
  readonly aims: readonly AimResult[]
  readonly data: unknown
}

/** Options of an experiment. */
export interface ExperimentOptions {
  /** Whether to shorten the run; false with `npm run bench -- --long`. */
  readonly short: boolean
  readonly print: (line: string) => void
}

/** Runs an experiment, including the start and stop of the systems that it needs. */
export type Experiment = (opts: ExperimentOptions) => Promise<ExperimentResult>

/** Quantile of the values, without interpolation; fraction 0.5 is the median. NaN if there are no values. */
export function quantile (values: readonly number[], fraction: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(fraction * sorted.length))] ?? NaN
}

/** Checks a measured value against an upper limit. */
export function atMost (aim: string, measured: number, limit: number, unit = ''): AimResult {
  return { aim, limit: `at most ${limit}${unit}`, measured: `${round(measured)}${unit}`, held: measured <= limit }
}

/** Checks a measured value against a lower limit. */
export function atLeast (aim: string, measured: number, limit: number, unit = ''): AimResult {
  return { aim, limit: `at least ${limit}${unit}`, measured: `${round(measured)}${unit}`, held: measured >= limit }
}

const ROUNDING_FACTOR = 1000

/** Rounds to 3 decimal places. */
export function round (value: number): number {
  return Math.round(value * ROUNDING_FACTOR) / ROUNDING_FACTOR
}
