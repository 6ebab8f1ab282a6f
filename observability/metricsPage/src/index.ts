/** The page of metrics. */
export * from './createMetricsPage.js'
