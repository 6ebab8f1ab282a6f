/** Failover. */
export * from './chooseInSync.js'
export * from './judgeDatabase.js'
export * from './judgePlatformGroup.js'
export * from './decidePromotion.js'
