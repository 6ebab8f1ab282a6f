import hdr, { type Histogram } from 'hdr-histogram-js'
import { Counter, Gauge, Registry } from 'prom-client'

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

/** Creates empty metrics. */
export function createMetrics (): Metrics {
  const registry = new Registry()
  const counters = new Map<CounterName, Map<string, number>>()
  const histograms = new Map<string, Histogram>()

  for (const [name, help] of Object.entries(HELP)) registerCounter(name as CounterName, help)

  /** The library sees a count only when a page is asked for; counting itself happens for every statement. */
  function registerCounter (name: CounterName, help: string): void {
    const counts = new Map<string, number>()
    counters.set(name, counts)
    const counter: Counter = new Counter({
      name: `${PREFIX}${name}_total`,
      help,
      labelNames: ['reason'],
      registers: [registry],
      collect () {
        counter.reset()
        for (const [reason, count] of counts) counter.inc({ reason }, count)
      },
    })
  }

  function histogramOf (name: string): Histogram {
    const known = histograms.get(name)
    if (known !== undefined) return known
    const histogram = hdr.build({ bitBucketSize: 32, numberOfSignificantValueDigits: 2 })
    histograms.set(name, histogram)
    registerLatency(name, histogram)
    return histogram
  }

  function registerLatency (name: string, histogram: Histogram): void {
    const gauge: Gauge = new Gauge({
      name: `${PREFIX}${name}_ms`,
      help: `Latency of ${name} in ms, by quantile`,
      labelNames: ['quantile'],
      registers: [registry],
      collect () {
        const { p50, p99, max } = summarize(histogram)
        gauge.set({ quantile: '0.5' }, p50)
        gauge.set({ quantile: '0.99' }, p99)
        gauge.set({ quantile: '1' }, max)
      },
    })
  }

  return {
    count (name, reason) {
      const counts = counters.get(name)
      counts?.set(reason, (counts.get(reason) ?? 0) + 1)
    },
    latency (name, ms) {
      histogramOf(name).recordValue(Math.max(1, Math.round(ms * MICROSECONDS_PER_MS)))
    },
    gauge (name, read) {
      const gauge: Gauge = new Gauge({
        name: `${PREFIX}${name}`, help: name, registers: [registry], collect: () => { gauge.set(read()) },
      })
    },
    snapshot: () => ({
      counters: Object.fromEntries([...counters].flatMap(([name, counts]) => [...counts].map(([reason, count]) => [`${name}.${reason}`, count]))),
      latencies: Object.fromEntries([...histograms].map(([name, histogram]) => [name, summarize(histogram)])),
    }),
    page: async () => await registry.metrics(),
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
