/** Persisted state of a control node: its identity and its log file. */
export * from './foundingFile.js'
export * from './isDiskFull.js'
export * from './openIdentity.js'
export * from './openLogFile.js'
export * from './recordFormat.js'
