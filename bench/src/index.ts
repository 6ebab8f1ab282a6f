/** Evaluation of load results: failover gap and replica share. */
export * from './failoverGap.js'
export * from './replicaShare.js'
