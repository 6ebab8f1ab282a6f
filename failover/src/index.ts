/** Failover decisions: home assignment, promotion and in-sync set. */
export * from './chooseHomeByFitness.js'
export * from './chooseInSync.js'
export * from './decideDatabaseStep.js'
export * from './decideHomeMove.js'
export * from './decidePlatformGroupStep.js'
export * from './decidePromotion.js'
