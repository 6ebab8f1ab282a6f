/** Server side of PostgreSQL connections. */
export * from './acceptCaller.js'
export * from './createBatchReader.js'
export * from './createCallerChannel.js'
export * from './startupConnection.js'
