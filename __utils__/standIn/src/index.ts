/** The stand-in target. */
export * from './createStandIn.js'
export * from './createLedger.js'
export { REPLICA_USER } from './replicate.js'
export * from './standInOptions.js'
