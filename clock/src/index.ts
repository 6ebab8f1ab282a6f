/** Time that counts suspension. */
export * from './createElapsedClock.js'
