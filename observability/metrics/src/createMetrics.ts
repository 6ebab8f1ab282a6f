import type hdr from 'hdr-histogram-js'
import { type Histogram } from 'hdr-histogram-js'

/** Number of recorded latencies, and their percentiles in ms. */
export interface LatencySummary {
  readonly count: number
  readonly p50: number
  readonly p99: number
  readonly max: number
}

/** All counters, keyed `name.reason`, and latencies, keyed by name, at one point in time. */
export interface MetricsSnapshot {
  readonly counters: Readonly<Record<string, number>>
  readonly latencies: Readonly<Record<string, LatencySummary>>
}

/** Counters, latencies and gauges of one process. */
export interface Metrics {
  /** Increments the counter `name` for a reason. */
  count: (name: CounterName, reason: string) => void
  /** Records a latency in ms. */
  latency: (name: string, ms: number) => void
  /** Registers a gauge; `read` is called each time the page is rendered. */
  gauge: (name: string, read: () => number) => void
  /** Registers counters whose values, by reason, are read each time that the page is rendered or a snapshot is taken. */
  counters: (name: ReadCounterName, read: () => ReadonlyMap<string, number>) => void
  snapshot: () => MetricsSnapshot
  /** Renders all metrics in the Prometheus text format. */
  page: () => Promise<string>
}

/** Names of the counters; each is labelled with a reason. */
export type CounterName = 'refusals' | 'unknown_outcomes' | 'retries' | 'reads' | 'writes' | 'requests' | 'events'

/** Names of the counters that are kept elsewhere; each is labelled with a team, and the smaller teams are counted together. */
export type ReadCounterName = 'team_admitted' | 'team_refused'

const READ_HELP: Readonly<Record<ReadCounterName, string>> = {
  team_admitted: 'Operations admitted by the homes of this process, by team; the empty name stands for all smaller teams',
  team_refused: 'Operations refused beyond the limits of their teams, by team; the empty name stands for all smaller teams',
}

const HELP: Readonly<Record<CounterName, string>> = {
  refusals: 'Requests refused, by reason code; none of them ran',
  unknown_outcomes: 'Requests that were sent and whose outcome is not known, by reason code',
  retries: 'Requests sent again, by reason',
  reads: 'Reads answered, by who served them',
  writes: 'Writes acknowledged, by kind',
  requests: 'Requests that asked a home for a slot, by result, priority and class of the team',
  events: 'Other events, by name',
}

const PREFIX = 'briarpick_'
const MICROSECONDS_PER_MS = 1000

/** Latencies of one name, in microseconds. Values are held in `pending` until the histogram library is loaded. */
interface LatencySeries {
  readonly pending: number[]
  histogram: Histogram | undefined
}

/**
 * Number of pending values of one name at which the histogram library is loaded. Loading takes some 30 ms, which would delay the
 * callers of a new process.
 */
const PENDING_VALUES_BEFORE_LOAD = 20_000

/** Creates empty metrics. The libraries are loaded on first use, to keep the startup of a process short. */
export function createMetrics (): Metrics {
  const counters = new Map(Object.keys(HELP).map((name) => [name as CounterName, new Map<string, number>()]))
  const latencies = new Map<string, LatencySeries>()
  const gauges = new Map<string, () => number>()
  const readCounters = new Map<ReadCounterName, () => ReadonlyMap<string, number>>()
  let buildHistogram: typeof hdr.build | undefined
  let loading = false

  function latencySeries (name: string): LatencySeries {
    const series = latencies.get(name) ?? { pending: [], histogram: undefined }
    latencies.set(name, series)
    if (series.histogram === undefined && buildHistogram !== undefined) {
      series.histogram = buildHistogram({ bitBucketSize: 32, numberOfSignificantValueDigits: 2 })
      for (const value of series.pending.splice(0)) series.histogram.recordValue(value)
    }
    return series
  }

  function loadHistogramLibrary (): void {
    if (loading) return
    loading = true
    import('hdr-histogram-js').then((library) => {
      buildHistogram = library.build
    }, () => {
      loading = false
    })
  }

  function summaries (): ReadonlyArray<readonly [string, LatencySummary]> {
    return [...latencies.keys()].map((name) => {
      const { histogram, pending } = latencySeries(name)
      return [name, histogram === undefined ? summarizeValues(pending) : summarize(histogram)] as const
    })
  }

  async function page (): Promise<string> {
    loadHistogramLibrary()
    const { Counter, Gauge, Registry } = await import('prom-client')
    const registry = new Registry()
    for (const [name, counts] of counters) {
      const counter = new Counter({ name: `${PREFIX}${name}_total`, help: HELP[name], labelNames: ['reason'], registers: [registry] })
      for (const [reason, count] of counts) counter.inc({ reason }, count)
    }
    for (const [name, read] of readCounters) {
      const counter = new Counter({ name: `${PREFIX}${name}_total`, help: READ_HELP[name], labelNames: ['team'], registers: [registry] })
      for (const [team, count] of read()) counter.inc({ team }, count)
    }
    for (const [name, { p50, p99, max }] of summaries()) {
      const gauge = new Gauge({
        name: `${PREFIX}${name}_ms`, help: `Latency of ${name} in ms, by quantile`, labelNames: ['quantile'], registers: [registry],
      })
      gauge.set({ quantile: '0.5' }, p50)
      gauge.set({ quantile: '0.99' }, p99)
      gauge.set({ quantile: '1' }, max)
    }
    for (const [name, read] of gauges) new Gauge({ name: `${PREFIX}${name}`, help: name, registers: [registry] }).set(read())
    return await registry.metrics()
  }

  return {
    count (name, reason) {
      const counts = counters.get(name)
      counts?.set(reason, (counts.get(reason) ?? 0) + 1)
    },
    latency (name, ms) {
      const { histogram, pending } = latencySeries(name)
      if (pending.length >= PENDING_VALUES_BEFORE_LOAD) loadHistogramLibrary()
      const value = Math.max(1, Math.round(ms * MICROSECONDS_PER_MS))
      if (histogram !== undefined) histogram.recordValue(value)
      else if (pending.length < 2 * PENDING_VALUES_BEFORE_LOAD) pending.push(value)
    },
    gauge (name, read) {
      gauges.set(name, read)
    },
    counters (name, read) {
      readCounters.set(name, read)
    },
    snapshot: () => ({
      counters: Object.fromEntries([...counters, ...[...readCounters].map(([name, read]) => [name, read()] as const)]
        .flatMap(([name, counts]) => [...counts].map(([reason, count]) => [`${name}.${reason}`, count]))),
      latencies: Object.fromEntries(summaries()),
    }),
    page,
  }
}

function summarize (histogram: Histogram): LatencySummary {
  return {
    count: histogram.totalCount,
    p50: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
    p99: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
    max: histogram.maxValue / MICROSECONDS_PER_MS,
  }
}

/** Summarizes values in microseconds without a histogram. */
function summarizeValues (values: readonly number[]): LatencySummary {
  const sorted = [...values].sort((a, b) => a - b)
  const quantileMs = (quantile: number) =>
    (sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0) / MICROSECONDS_PER_MS
  return { count: sorted.length, p50: quantileMs(0.5), p99: quantileMs(0.99), max: quantileMs(1) }
}
