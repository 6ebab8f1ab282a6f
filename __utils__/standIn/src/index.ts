/** A stand-in for a database instance, for tests and benchmarks. */
export * from './createStandIn.js'
export * from './createLedger.js'
export { REPLICA_USER } from './replicate.js'
export * from './standInOptions.js'
