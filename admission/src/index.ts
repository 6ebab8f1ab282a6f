/** Admission control. */
export * from './createFairQueue.js'
export * from './createRetryBudget.js'
export * from './createWaitEstimate.js'
