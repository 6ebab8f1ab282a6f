/** Estimates how long work of a kind holds its slot, for the load of a wave of long requests among short ones. */
export interface ServiceTimeEstimate {
  /** Records the time for which work held a slot of a target in a role, in ms; returns the error of the estimate before it, in ms. */
  record: (kind: string, role: string, serviceTimeMs: number) => number
  /** Expected time for a kind, in ms; on targets of a role, or else on those that it usually ran on. */
  expectedMs: (kind: string, role?: string) => number
  /** Average over all kinds, in ms. */
  meanMs: () => number
  /** Number of averages kept. */
  size: () => number
}

/** Options of an estimate. */
export interface ServiceTimeEstimateOptions {
  /** Expected time before the first sample, in ms. */
  readonly initialMs: number
  /** Longest time that is recorded, in ms: longer ones show a lost answer or a suspended VM rather than work. */
  readonly maxMs?: number
}

interface Average {
  ms: number
  samples: number
}

/** Weight of the newest sample in an average of many. */
const NEWEST_WEIGHT = 0.05
/** Number of samples from which the average of a kind or role is used instead of the wider one. */
const MIN_SAMPLES = 5
/** Maximum number of averages; kinds beyond them share the average of all. */
const MAX_AVERAGES = 64
const DEFAULT_MAX_MS = 2000

/** Creates an estimate without samples. */
export function createServiceTimeEstimate ({ initialMs, maxMs = DEFAULT_MAX_MS }: ServiceTimeEstimateOptions): ServiceTimeEstimate {
  const averages = new Map<string, Average>()
  const all: Average = { ms: initialMs, samples: 0 }

  function averageOf (key: string): Average | undefined {
    const known = averages.get(key)
    if (known !== undefined || averages.size >= MAX_AVERAGES) return known
    const average: Average = { ms: 0, samples: 0 }
    averages.set(key, average)
    return average
  }

  function expectedMs (kind: string, role?: string): number {
    const byRole = role === undefined ? undefined : averages.get(keyOf(kind, role))
    if (byRole !== undefined && byRole.samples >= MIN_SAMPLES) return byRole.ms
    const byKind = averages.get(kind)
    return byKind !== undefined && byKind.samples >= MIN_SAMPLES ? byKind.ms : all.ms
  }

  return {
    record (kind, role, serviceTimeMs) {
      const errorMs = Math.abs(serviceTimeMs - expectedMs(kind, role))
      if (serviceTimeMs <= maxMs) {
        addSample(all, serviceTimeMs, NEWEST_WEIGHT)
        for (const average of [averageOf(kind), averageOf(keyOf(kind, role))]) {
          if (average !== undefined) addSample(average, serviceTimeMs, Math.max(NEWEST_WEIGHT, 1 / (average.samples + 1)))
        }
      }
      return errorMs
    },
    expectedMs,
    meanMs: () => all.ms,
    size: () => averages.size,
  }
}

function addSample (average: Average, ms: number, weight: number): void {
  average.ms += weight * (ms - average.ms)
  average.samples += 1
}

function keyOf (kind: string, role: string): string {
  return `${kind} ${role}`
}
