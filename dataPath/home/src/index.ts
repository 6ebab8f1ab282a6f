/** Homes for typed statements. */
export * from './admitsWait.js'
export * from './chooseReadTarget.js'
export * from './createAckHistory.js'
export * from './createStatementHome.js'
export * from './createWorkQueue.js'
export * from './createWriteProgress.js'
export * from './statementHomeTypes.js'
export * from './targetDriver.js'
