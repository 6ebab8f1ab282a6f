/** The clocks by which promises between processes are judged: one for who relies on them, one for who gave them. */
export * from './createElapsedClock.js'
export * from './processClocks.js'
