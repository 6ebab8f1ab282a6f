/** Counters, latencies and gauges of a process. */
export * from './createMetrics.js'
