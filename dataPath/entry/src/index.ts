/** Sessions of callers that send typed statements. */
export * from './createCallerQueues.js'
export * from './createCallerShares.js'
export * from './createTurns.js'
export * from './createSessionMemory.js'
export * from './createStatementSession.js'
export * from './createActiveRoutes.js'
export * from './createWaitBoard.js'
export * from './statementHomeFinder.js'
