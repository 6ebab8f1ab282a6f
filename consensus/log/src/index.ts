/** Disk state of a control node. */
export * from './openIdentity.js'
export * from './openLogFile.js'
export * from './recordFormat.js'
