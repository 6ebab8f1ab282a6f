/** Rate limits of teams that hold across all VMs. */
export * from './bucketSize.js'
export * from './createRefusalMemory.js'
export * from './createTeamLimiter.js'
export * from './createTeamShares.js'
export * from './createTeamUse.js'
export * from './divideShares.js'
export * from './tokenBucket.js'
