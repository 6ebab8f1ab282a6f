import type hdr from 'hdr-histogram-js'
import { type Histogram } from 'hdr-histogram-js'

/** Percentiles of a latency, in ms. */
export interface LatencySummary {
  readonly count: number
  readonly p50: number
  readonly p99: number
  readonly max: number
}

/** All counters and latencies at one moment. */
export interface MetricsSnapshot {
  readonly counters: Readonly<Record<string, number>>
  readonly latencies: Readonly<Record<string, LatencySummary>>
}

/** The counters and latencies of one process. */
export interface Metrics {
  /** Adds one to `name{reason}`. */
  count: (name: CounterName, reason: string) => void
  /** Records a latency in ms. */
  latency: (name: string, ms: number) => void
  /** Shows a value that is read when asked for. */
  gauge: (name: string, read: () => number) => void
  snapshot: () => MetricsSnapshot
  /** The Prometheus text page. */
  page: () => Promise<string>
}

/** What is counted, each by reason. */
export type CounterName = 'refusals' | 'unknown_outcomes' | 'retries' | 'reads' | 'writes' | 'events'

const HELP: Readonly<Record<CounterName, string>> = {
  refusals: 'Requests refused, by reason code; none of them ran',
  unknown_outcomes: 'Requests that were sent and whose outcome is not known, by reason code',
  retries: 'Requests sent again, by reason',
  reads: 'Reads answered, by who served them',
  writes: 'Writes acknowledged, by kind',
  events: 'Other events, by name',
}

const PREFIX = 'briarpick_'
const MICROSECONDS_PER_MS = 1000

/** Latencies of one name; values wait here until the library is loaded. */
interface Latencies {
  readonly early: number[]
  histogram: Histogram | undefined
}

/** Values of one name that wait before the library is loaded; it takes some 30 ms, which callers of a fresh process would wait. */
const MAX_EARLY = 20_000

/** Creates empty metrics. The libraries are loaded when they are first needed, to keep the start of a process short. */
export function createMetrics (): Metrics {
  const counters = new Map(Object.keys(HELP).map((name) => [name as CounterName, new Map<string, number>()]))
  const latencies = new Map<string, Latencies>()
  const gauges = new Map<string, () => number>()
  let build: typeof hdr.build | undefined
  let loading = false

  function histogramOf (name: string): Latencies {
    const known = latencies.get(name) ?? { early: [], histogram: undefined }
    latencies.set(name, known)
    if (known.histogram === undefined && build !== undefined) {
      known.histogram = build({ bitBucketSize: 32, numberOfSignificantValueDigits: 2 })
      for (const value of known.early.splice(0)) known.histogram.recordValue(value)
    }
    return known
  }

  function loadHistograms (): void {
    if (loading) return
    loading = true
    import('hdr-histogram-js').then((library) => {
      build = library.build
    }, () => {
      loading = false
    })
  }

  function summaries (): ReadonlyArray<readonly [string, LatencySummary]> {
    return [...latencies.keys()].map((name) => {
      const { histogram, early } = histogramOf(name)
      return [name, histogram === undefined ? summarizeValues(early) : summarize(histogram)] as const
    })
  }

  async function page (): Promise<string> {
    loadHistograms()
    const { Counter, Gauge, Registry } = await import('prom-client')
    const registry = new Registry()
    for (const [name, counts] of counters) {
      const counter = new Counter({ name: `${PREFIX}${name}_total`, help: HELP[name], labelNames: ['reason'], registers: [registry] })
      for (const [reason, count] of counts) counter.inc({ reason }, count)
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
      const { histogram, early } = histogramOf(name)
      if (early.length >= MAX_EARLY) loadHistograms()
      const value = Math.max(1, Math.round(ms * MICROSECONDS_PER_MS))
      if (histogram !== undefined) histogram.recordValue(value)
      else if (early.length < 2 * MAX_EARLY) early.push(value)
    },
    gauge (name, read) {
      gauges.set(name, read)
    },
    snapshot: () => ({
      counters: Object.fromEntries([...counters].flatMap(([name, counts]) => [...counts].map(([reason, count]) => [`${name}.${reason}`, count]))),
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

/** The same of plain values in microseconds. */
function summarizeValues (values: readonly number[]): LatencySummary {
  const sorted = [...values].sort((a, b) => a - b)
  const at = (part: number) => (sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * part))] ?? 0) / MICROSECONDS_PER_MS
  return { count: sorted.length, p50: at(0.5), p99: at(0.99), max: at(1) }
}
