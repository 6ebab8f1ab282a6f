/** The stand-in target. */
export * from './createStandIn.js'
export * from './ledger.js'
export * from './standInOptions.js'
