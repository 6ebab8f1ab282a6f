/** Load generator and the check of its results. */
export * from './checkWrites.js'
export * from './createProxyPools.js'
export * from './loadTypes.js'
export * from './readRowCounts.js'
export * from './runLoad.js'
export * from './summarizeLoad.js'
