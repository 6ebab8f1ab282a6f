/** Loads. */
export * from './checkOutcome.js'
export * from './createCallers.js'
export * from './loadTypes.js'
export * from './readRows.js'
export * from './runLoad.js'
export * from './summarizeLoad.js'
