/** Callers' sessions. */
export * from './createStatementSession.js'
export * from './createActiveRoutes.js'
export * from './statementHomeResolver.js'
