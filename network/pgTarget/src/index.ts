/** Connections to targets. */
export * from './connectTarget.js'
export * from './groupStatements.js'
