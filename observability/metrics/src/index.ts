/** Counters and latencies. */
export * from './createMetrics.js'
