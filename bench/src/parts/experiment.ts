/** One aim of the users and what an experiment measured. */
export interface AimResult {
  readonly aim: string
  readonly limit: string
  readonly measured: string
  readonly held: boolean
}

/** What an experiment gives back; `data` is kept as JSON. */
export interface ExperimentResult {
  readonly name: string
  readonly aims: readonly AimResult[]
  readonly data: unknown
}

/** How long experiments run. */
export interface ExperimentOptions {
  /** True for the short run of `npm run bench`. */
  readonly short: boolean
  readonly print: (line: string) => void
}

/** An experiment. */
export type Experiment = (opts: ExperimentOptions) => Promise<ExperimentResult>

/** Value at a part of the sorted values; 0.5 is the median. */
export function quantile (values: readonly number[], part: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(part * sorted.length))] ?? NaN
}

/** Aim that a value stays at or below a limit. */
export function atMost (aim: string, measured: number, limit: number, unit = ''): AimResult {
  return { aim, limit: `at most ${limit}${unit}`, measured: `${round(measured)}${unit}`, held: measured <= limit }
}

/** Aim that a value stays at or above a limit. */
export function atLeast (aim: string, measured: number, limit: number, unit = ''): AimResult {
  return { aim, limit: `at least ${limit}${unit}`, measured: `${round(measured)}${unit}`, held: measured >= limit }
}

const DIGITS = 1000

/** Rounds for print. */
export function round (value: number): number {
  return Math.round(value * DIGITS) / DIGITS
}
