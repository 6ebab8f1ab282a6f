/** Failover. */
export * from './chooseInSync.js'
export * from './judgeDatabase.js'
