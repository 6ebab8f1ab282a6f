/** Failover decisions: home assignment, promotion and in-sync set. */
export * from './chooseInSync.js'
export * from './decideDatabaseStep.js'
export * from './decidePlatformGroupStep.js'
export * from './decidePromotion.js'
