/** Experiments. */
export * from './failoverGap.js'
export * from './replicaShare.js'
