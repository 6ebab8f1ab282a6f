/** Client side of PostgreSQL connections to targets. */
export * from './connectTarget.js'
export * from './groupStatements.js'
