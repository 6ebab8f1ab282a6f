/** HTTP endpoint for the metrics. */
export * from './createMetricsPage.js'
