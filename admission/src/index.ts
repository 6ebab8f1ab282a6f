/** Admission control. */
export * from './createBacklogClasses.js'
export * from './createFairQueue.js'
export * from './createMinHeap.js'
export * from './createRetryBudget.js'
export * from './createReturnSchedule.js'
export * from './createServiceTimeEstimate.js'
export * from './createWaitEstimate.js'
