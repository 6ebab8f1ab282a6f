/** Elapsed time that includes VM suspension. */
export * from './createElapsedClock.js'
