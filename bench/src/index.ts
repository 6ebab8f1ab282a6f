/** Experiments. */
export * from './failoverGap.js'
export * from './readReplicaShare.js'
