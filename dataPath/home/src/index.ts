/** Statement homes: each runs the typed statements of one database on its targets. */
export * from './chooseReadTarget.js'
export * from './createAckHistory.js'
export * from './createStatementHome.js'
export * from './createWorkQueue.js'
export * from './createWriteProgress.js'
export * from './shouldAdmit.js'
export * from './statementHomeTypes.js'
export * from './targetDriver.js'
